"""Settings of small deployments, in the form of WIRE-onyxhead.md, with the figures of the operators' site files."""

from __future__ import annotations

from typing import Any


def pos_main_campus(proxies: int, controllers: int = 1) -> dict[str, Any]:
    """pos-main-campus: levels are shares, `booking` stays in its zone, a proxy gets at most 20 messages in 10 s."""
    return {
        "balancers": controllers,
        "bounds": {"connIdleNs": 15_000_000_000, "connectTimeoutNs": 250_000_000, "cpuUsPerS": 400_000,
                   "multiplex": 32, "peerMessages": True, "probes": True},
        "costs": {"connection": 0.02, "crossZone": 0.04, "handshake": 0.04, "lateFail": 0.05, "peer": 0.01,
                  "probe": 0.02, "waste": 0.05},
        "discovery": "automatic",
        "domainType": "control",
        "extra": {
            "agents": proxies, "baseMode": 0, "bufferForNs": 300_000_000, "classOwnZone": [False, True],
            "connsLeast": 178.0, "cycleNs": 1_000_000_000, "egressPerS": 1400.0, "ejects": 0, "homedByZone": True,
            "inFlightMaxNs": 2_520_000_000, "intakePerS": 60.0, "lateMostNs": 570_000_000,
            "messagesOverNs": 10_000_000_000, "mostWaiting": 1400.0, "mutating": [False, True], "perMessage": 3.0,
            "pushDelayNs": 228_000_000, "pushPrice": 0.04, "ranges": 0, "reassignPrice": 0.01, "selectsBy": "pair",
            "soleOwner": False, "standing": 5, "tenureNs": 2_500_000_000, "throttleBy": "ratio", "tryFactor": 1.2,
            "unservedMaxNs": 5_300_000_000, "updateCap": 20, "warmKeys": True,
        },
        "goal": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
        "guarantees": {"askWithinNs": 10_000_000_000, "coldFrom": 0.16, "coldNs": 16_000_000_000,
                       "drainGraceNs": 3_000_000_000, "fallNs": 3_000_000_000, "overloadFactor": 4.0},
        "hostTypes": ["large-box", "small-box"],
        "report": {"fields": ["busy_reqs"], "via": "inline"},
        "roundNs": 5_000_000,
        "services": [
            {"aimNs": 800_000_000, "credit": 1.0, "deadlineNs": 2_000_000_000, "effect": "pure", "group": "all",
             "lateValue": 0.1, "name": "rate-sync", "repeatWindowNs": 5_000_000_000},
            {"aimNs": 1_000_000_000, "credit": 3.0, "deadlineNs": 2_500_000_000, "effect": "token", "group": "cell",
             "lateValue": 0.2, "name": "booking", "repeatWindowNs": 2_500_000_000},
        ],
        "slotNo": 0,
        "weightSource": "rough",
        "worthBy": "request",
        "zone": 0,
        "zones": ["east-wing", "west-wing", "annex"],
    }


def kigali_ussd(proxies: int, controllers: int, zone: int = 0) -> dict[str, Any]:
    """kigali-ussd with the limits that the bench draws for 30 backends and 150 proxies."""
    return {
        "balancers": controllers,
        "bounds": {"connIdleNs": 15_000_000_000, "connectTimeoutNs": 250_000_000, "cpuUsPerS": 400_000,
                   "multiplex": 100, "peerMessages": True, "probes": True},
        "costs": {"connection": 0.02, "crossZone": 0.06, "handshake": 0.02, "lateFail": 0.05, "peer": 0.01,
                  "probe": 0.02, "waste": 0.03},
        "discovery": "automatic",
        "domainType": "control",
        "extra": {
            "agents": proxies, "baseMode": 0, "bufferForNs": 300_000_000, "classOwnZone": [False, False],
            "connsLeast": 193.0, "cycleNs": 1_000_000_000, "egressPerS": 1000.0, "ejects": 0, "homedByZone": True,
            "inFlightMaxNs": 3_020_000_000, "intakePerS": 80.0, "lateMostNs": 355_000_000,
            "messagesOverNs": 10_000_000_000, "mostWaiting": 3600.0, "mutating": [False, True], "perMessage": 6.0,
            "pushDelayNs": 142_000_000, "pushPrice": 0.04, "ranges": 0, "reassignPrice": 0.01, "selectsBy": "wheel",
            "soleOwner": False, "standing": 5, "tenureNs": 2_500_000_000, "throttleBy": "rps", "tryFactor": 1.2,
            "unservedMaxNs": 6_000_000_000, "updateCap": 0, "warmKeys": False,
        },
        "goal": {"nines": 0.15, "ninesFull": 2.0, "whole": 0.55, "worstClass": 0.1, "worstTenant": 0.0,
                 "worstWindow": 0.2},
        "guarantees": {"askWithinNs": 10_000_000_000, "coldFrom": 0.2, "coldNs": 15_000_000_000,
                       "drainGraceNs": 4_200_000_000, "fallNs": 1_500_000_000, "overloadFactor": 3.0},
        "hostTypes": ["k3-fast", "k4-std", "k4-slow"],
        "report": {"fields": ["pending", "svc_ms"], "via": "on_probe"},
        "roundNs": 4_000_000,
        "services": [
            {"aimNs": 750_000_000, "credit": 1.0, "deadlineNs": 2_500_000_000, "effect": "pure", "group": "all",
             "lateValue": 0.2, "name": "status-check", "repeatWindowNs": 5_000_000_000},
            {"aimNs": 1_000_000_000, "credit": 2.0, "deadlineNs": 3_000_000_000, "effect": "token", "group": "zone",
             "lateValue": 0.1, "name": "loss-report", "repeatWindowNs": 3_000_000_000},
        ],
        "slotNo": zone,
        "weightSource": "off",
        "worthBy": "request",
        "zone": zone,
        "zones": ["hall-a", "hall-b", "hall-c"],
    }
