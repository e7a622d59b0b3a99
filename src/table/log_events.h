/// @file log_events.h Table of log events and their numbers.
/// Columns: enumerator, number, level, text. Numbers are never reused.

LOG_EVENT(kProcessStarted, 100, Info, "process started")
LOG_EVENT(kProcessStopping, 101, Info, "graceful shutdown begun")
LOG_EVENT(kProcessStopped, 102, Info, "process stopped")
LOG_EVENT(kSettingsRefused, 103, Error, "settings refused")
LOG_EVENT(kSettingsChanged, 106, Info, "settings signalled as changed")
LOG_EVENT(kPauseNoticed, 104, Warning, "the process was paused")
LOG_EVENT(kKeysMissing,
          105,
          Warning,
          "links between processes run WITHOUT keys")
LOG_EVENT(kConfigurationAdopted, 200, Info, "configuration adopted")
LOG_EVENT(kConfigurationRefused, 201, Warning, "configuration refused")
LOG_EVENT(kStoreUnreachable, 202, Warning, "platform store unreachable")
LOG_EVENT(kStoreReachable, 203, Info, "platform store reachable")
LOG_EVENT(kWaitingForConfiguration,
          204,
          Warning,
          "no configuration from the store or any peer yet")
LOG_EVENT(kRelayRemoved, 205, Info, "registration of a lost relay removed")
LOG_EVENT(kRelaysRead, 206, Info, "relays read at start")
LOG_EVENT(kWeightsAnnounced, 207, Info, "version of the weights announced")
LOG_EVENT(kSourceChanged, 208, Info, "source of the store's items changed")
LOG_EVENT(kSourceSilent, 209, Info, "call to a relay or the store given up")
LOG_EVENT(kLargeAnswerRead,
          210,
          Info,
          "large answer of a relay or the store read")
LOG_EVENT(kStoreRestored,
          211,
          Warning,
          "platform store restored from an older copy")
LOG_EVENT(kListingRead, 212, Info, "listing of the store's items read")
LOG_EVENT(kTargetChanged, 300, Info, "target version changed")
LOG_EVENT(kManifestVerified, 301, Info, "manifest verified")
LOG_EVENT(kChunkCorrupt, 302, Warning, "chunk does not match its digest")
LOG_EVENT(kWeightsVerified, 303, Info, "weights complete and verified")
LOG_EVENT(kLoadOrdered, 304, Info, "engine ordered to load")
LOG_EVENT(kServing, 305, Info, "engine serves the version")
LOG_EVENT(kRolloutFailed, 306, Error, "rollout cannot finish on this server")
LOG_EVENT(kEngineRestarted, 307, Warning, "engine restarted")
LOG_EVENT(kImportTakenOver,
          308,
          Info,
          "fetches from outside in place of another server")
LOG_EVENT(kEngineCrashed, 309, Warning, "engine crashed")
LOG_EVENT(kServerCrashed, 310, Warning, "server crashed")
LOG_EVENT(kLimitLowered, 400, Warning, "admission limit lowered")
LOG_EVENT(kRequestQuarantined, 401, Warning, "request quarantined")
LOG_EVENT(kServerEjected, 402, Info, "server ejected from routing")
LOG_EVENT(kQuarantineReleased, 403, Info, "quarantine released")
LOG_EVENT(kServerLeaves, 404, Info, "server announced that it leaves")
LOG_EVENT(kServerPaused, 405, Info, "server asked for a pause")
LOG_EVENT(kMessageDropped, 500, Warning, "malformed message dropped")
LOG_EVENT(kAttemptSent, 600, Info, "attempt sent")
LOG_EVENT(kAttemptRepeated, 601, Info, "attempt repeated")
LOG_EVENT(kCallAnswered, 602, Info, "call answered")
LOG_EVENT(kCallRefused, 603, Info, "call refused")
LOG_EVENT(kCallerGone, 604, Info, "caller left")
LOG_EVENT(kStreamCut, 605, Warning, "stream closed before its end")
LOG_EVENT(kInputDropped, 606, Warning, "connection closed with unread input")
LOG_EVENT(kCallWaits, 607, Info, "call waits for a place")
LOG_EVENT(kWaitEnded, 608, Info, "wait for a place ended")
LOG_EVENT(kAnswerMalformed, 609, Warning, "malformed answer given up")
LOG_EVENT(kStoreItemUnreadable, 611, Warning, "item of the store unreadable")
LOG_EVENT(kEngineOrdered, 622, Info, "engine ordered to load staged weights")
LOG_EVENT(kEngineState, 623, Info, "engine state changed")
LOG_EVENT(kOriginFailed, 624, Warning, "origin of weights gave no answer")
LOG_EVENT(kEngineUnloads,
          625,
          Info,
          "engine ordered to unload replaced weights")
LOG_EVENT(kEngineOrderAnswered, 626, Info, "engine answered an order")
LOG_EVENT(kLoadVerified, 627, Info, "loaded weights are intact")
LOG_EVENT(kLoadSpoilt, 628, Warning, "loaded weights are given up")
LOG_EVENT(kPlaceQueued, 640, Info, "place request waits")
LOG_EVENT(kPlaceDecided, 641, Info, "waiting place request decided")
LOG_EVENT(kPlaceRequestLimited,
          642,
          Warning,
          "place request out of range limited")
