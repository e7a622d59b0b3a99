/// @file reasons.h Table of the reasons for refusals, retries and drops.
/// Columns: enumerator, code, HTTP status, whether it proves that the request
/// did not run, text. Codes are part of the API; never change or renumber them.

REASON(kNone, "none", 200, false, "no refusal")
REASON(kUnknownService,
       "unknown_service",
       404,
       true,
       "no such model or service")
REASON(kBadRequest, "bad_request", 400, true, "the request is malformed")
REASON(kNoServerReady,
       "no_server_ready",
       503,
       true,
       "no backend server is ready")
REASON(kServerFull,
       "server_full",
       503,
       true,
       "the backend server is at its limit")
REASON(kQueueDeadline,
       "queue_deadline",
       503,
       true,
       "the deadline passed while queued")
REASON(kServerLoading,
       "server_loading",
       503,
       true,
       "the backend server is loading weights")
REASON(kWrongVersion,
       "wrong_version",
       503,
       true,
       "the backend server has another version")
REASON(kDomainOut,
       "domain_out",
       503,
       true,
       "the failure domain is out of service")
REASON(kServerLeaving,
       "server_leaving",
       503,
       true,
       "the backend server is leaving")
REASON(kShuttingDown,
       "shutting_down",
       503,
       true,
       "the process is shutting down")
REASON(kOverload,
       "overload",
       429,
       true,
       "the organisation is over its fair share")
REASON(kQuarantined,
       "quarantined",
       422,
       true,
       "the request crashed servers before")
REASON(kStoreUnavailable,
       "store_unavailable",
       503,
       true,
       "the call could not be recorded before running")
REASON(kKeyMissing,
       "key_missing",
       400,
       true,
       "a call that may not be repeated needs an Idempotency-Key")
REASON(kKeyUsed,
       "key_used",
       409,
       false,
       "an earlier request with this key has or may have run")
REASON(kEngineUnreachable,
       "engine_unreachable",
       503,
       true,
       "the backend server takes no connection")
REASON(kEngineCrashed,
       "engine_crashed",
       502,
       false,
       "the backend server crashed while running it")
REASON(kEngineFailed,
       "engine_failed",
       502,
       false,
       "the backend server failed while running it")
REASON(kAnswerIncomplete,
       "answer_incomplete",
       502,
       false,
       "the answer ended early or out of order")
REASON(kAttemptSilent,
       "attempt_silent",
       504,
       false,
       "the attempt made no progress in time")
REASON(kDeadline, "deadline", 504, false, "the deadline passed while it ran")
REASON(kRetryBudget, "retry_budget", 503, true, "the retry budget is spent")
REASON(kUnknownOrganisation,
       "unknown_organisation",
       401,
       true,
       "the bearer token is not known")
