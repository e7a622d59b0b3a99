/// @file rules.h Table of the operators' rules.
/// Columns: field of the rules message, name in the INI file, default, minimum,
/// maximum, unit, help.

RULE(loading_share_percent,
     "loading.share",
     34,
     1,
     100,
     "%",
     "servers of a service and domain that load at once")
RULE(quarantine_crashes,
     "quarantine.crashes",
     2,
     1,
     100,
     "crashes",
     "crashes after which a request is quarantined")
