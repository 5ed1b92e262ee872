"""A view of true load from more reports than can be weighed one by one: late, noisy, capped, and sometimes false.

No I/O and no clock. Times are tenths of a millisecond."""
