-- The state folder's onyxhead.db as version 0.2.0 (37b6fef) wrote it, with fewer rows; the list's bytes as text. The
-- second 1796220100 stands for "just now": the test puts the current one there, as old lists are not followed.
CREATE TABLE meta (name text primary key, value any) strict, without rowid;
INSERT INTO meta VALUES('epoch',41);
INSERT INTO meta VALUES('fleet loans','[["c1", 3, "c2", "b3", 17962201000000, 2.5]]');
INSERT INTO meta VALUES('fleet members','{"c9": {"address": "127.0.0.1:19", "pace": 500.0, "zone": "north"}}');
INSERT INTO meta VALUES('operators'' orders','{"cordoned": ["b4"], "done": [["n1", {"asked": ["drain", ["b1"]], "backends": ["b1"], "by": "ann", "changed": ["b1"], "channel_s": 0.002, "id": "n1", "status": "applied", "why": ""}], ["n2", {"asked": ["cordon", ["b4"]], "backends": ["b4"], "by": "ann", "changed": ["b4"], "channel_s": 0.0, "id": "n2", "status": "applied", "why": ""}]], "drained": ["b1"]}');
INSERT INTO meta VALUES('settings tree','{"channel": {"most-waiting": 2000, "pace": "5000.0"}, "group": [{"dedup-reach": "all", "dedup-window": 0, "expiry": 10000, "home-zone-only": false, "latency-budget": 5000, "name": "read", "repeats": "retriable", "utility": "1.0"}], "guards": {"cold-time": 36000000, "drain-grace": 20000, "overload-factor": "3.0", "unserved-limit": 30000}}');
INSERT INTO meta VALUES('startup','{"backend": [{"id": "b4", "weight": "0.25"}], "channel": {"most-waiting": 2000, "pace": "5000.0"}, "group": [{"dedup-reach": "all", "dedup-window": 0, "expiry": 10000, "home-zone-only": false, "latency-budget": 5000, "name": "read", "repeats": "retriable", "utility": "1.0"}], "guards": {"cold-time": 36000000, "drain-grace": 20000, "overload-factor": "3.0", "unserved-limit": 30000}}');
INSERT INTO meta VALUES('table labels','{"good": 1}');
CREATE TABLE lists (number integer primary key, heard real, version integer, body blob) strict;
INSERT INTO lists VALUES(2,1796220100.0,8,cast('{"version": 8, "backends": [{"id": "b1", "address": "127.0.0.1:9001", "zone": "north", "kind": "std", "state": "ready", "weight": 1.0, "started": 0.0}, {"id": "b2", "address": "127.0.0.1:9002", "zone": "north", "kind": "std", "state": "ready", "weight": 1.0, "started": 0.0}, {"id": "b3", "address": "127.0.0.1:9003", "zone": "north", "kind": "std", "state": "ready", "weight": 1.0, "started": 1796220100.0}, {"id": "b6", "address": "127.0.0.1:9006", "zone": "north", "kind": "big", "state": "ready", "weight": 1.0, "started": 0.0}]}' as blob));
CREATE TABLE proxies (
    name text primary key, number integer not null unique, zone text, tag text, turn integer, seen real
) strict, without rowid;
INSERT INTO proxies VALUES('p1',5,'north','"1753d504d17aeb8a964a32ed699dc4ea4df3d4c4ba975f8e07d026c192ffe397"',1,1796220104.6712973117);
CREATE TABLE withdrawn (backend text primary key, at real) strict, without rowid;
INSERT INTO withdrawn VALUES('b5',1796220100.0);
CREATE TABLE orders (
    number integer primary key, at real, epoch integer, turn integer, causes text, decisions text, digest text
) strict;
INSERT INTO orders VALUES(1,1796220104.6578149796,1,1,'["list: 4 entries", "p1 joined"]','[["assign", 0, 0, []]]','9851174f65cff4410184c9a27248de50');
INSERT INTO orders VALUES(3,1796220106.0034646987,1,3,'["p1 applied 2", "list: 1 changes"]','[["withdraw", "b1"]]','ff1bc95e0cc00966564b6ced39796fd9');
INSERT INTO orders VALUES(8,1796220108.4273471832,1,8,'["p1 applied 7"]','[["level", 0, [0], 0.2, 1], ["lines", 0, {"b3": 0.0, "b4": 0.0}]]','6dbe2c08baab4c97f40cd6bc9fbeff62');
CREATE TABLE commits (
    number integer primary key, at real, tree text, user text, what text, until real, back integer, persist text
) strict;
INSERT INTO commits VALUES(1,1796220103.9476802348,'{"channel": {"most-waiting": 2000, "pace": "5000.0"}, "group": [{"dedup-reach": "all", "dedup-window": 0, "expiry": 10000, "home-zone-only": false, "latency-budget": 5000, "name": "read", "repeats": "retriable", "utility": "1.0"}], "guards": {"cold-time": 36000000, "drain-grace": 20000, "overload-factor": "3.0", "unserved-limit": 30000}}','(settings)','settings',0.0,0,'');
INSERT INTO commits VALUES(2,1796220106.4343674182,'{"backend": [{"drained": true, "id": "b2"}], "channel": {"most-waiting": 2000, "pace": "5000.0"}, "group": [{"dedup-reach": "all", "dedup-window": 0, "expiry": 10000, "home-zone-only": false, "latency-budget": 5000, "name": "read", "repeats": "retriable", "utility": "1.0"}], "guards": {"cold-time": 36000000, "drain-grace": 20000, "overload-factor": "3.0", "unserved-limit": 30000}}','op','commit',0.0,0,'');
INSERT INTO commits VALUES(3,1796220106.7695467472,'{"backend": [{"drained": true, "id": "b2"}, {"id": "b3", "weight": "0.5"}], "channel": {"most-waiting": 2000, "pace": "5000.0"}, "group": [{"dedup-reach": "all", "dedup-window": 0, "expiry": 10000, "home-zone-only": false, "latency-budget": 5000, "name": "read", "repeats": "retriable", "utility": "1.0"}], "guards": {"cold-time": 36000000, "drain-grace": 20000, "overload-factor": "3.0", "unserved-limit": 30000}}','op','confirmed commit',4102444800.0,2,'key');
CREATE TABLE versions (
    number integer primary key, epoch integer, at integer, cause text, changes text, digest text
) strict;
INSERT INTO versions VALUES(1,1,17962201044100,'list: 4 entries','[[0,"b1",1000000],[0,"b2",1000000],[0,"b3",100000],[0,"b4",1000000]]','d5d7d3443f0654235746e93cc743b23d');
INSERT INTO versions VALUES(2,1,17962201054152,'p1 applied 1','[[0,"b3",117344]]','64f0d5f06e42d0dd006f4c2d3c952974');
INSERT INTO versions VALUES(3,1,17962201064185,'p1 applied 3','[[0,"b1",0],[0,"b3",78320]]','1b12857f9f559fd3f2776372e4007fc0');
CREATE TABLE lives (epoch integer primary key, began real, seen real) strict;
INSERT INTO lives VALUES(40,1796220103.7131154537,1796220119.1734910011);
INSERT INTO lives VALUES(41,1796220133.25,1796220140.5);
CREATE TABLE audit (
    number integer primary key, at real, user text, session integer, what text, result text
) strict;
INSERT INTO audit VALUES(1,1796220106.0022022723,'ann',0,'drain b1','applied');
INSERT INTO audit VALUES(7,1796220106.7748990059,'op',1,'confirmed commit 3','done');
