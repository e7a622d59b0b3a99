/// @file settings.h Table of the settings.
/// Columns: member, name in the INI file, default, minimum, maximum, unit,
/// help. Text settings have no bounds and no unit.

SETTING_TEXT(vm, "node.vm", "", "id of this VM in the inventory")
SETTING_TEXT(domain, "node.domain", "", "failure domain of this VM")
SETTING_TEXT(ip, "node.ip", "127.0.0.1", "address to listen on")
SETTING_NUMBER(port,
               "node.port",
               7000,
               1,
               65533,
               "port",
               "control port; the bulk and traffic ports are the next two")
SETTING_TEXT(http_ip,
             "http.ip",
             "127.0.0.1",
             "address of the HTTP page, and of callers' requests on an entry")
SETTING_NUMBER(http_port, "http.port", 8080, 1, 65535, "port", "HTTP port")
SETTING_NUMBER(http_threads,
               "http.threads",
               8,
               2,
               512,
               "threads",
               "threads that serve HTTP")
SETTING_TEXT(log_file, "log.file", "", "log file; empty for standard output")
SETTING_TEXT(store,
             "platform.store",
             "",
             "address of the platform's store, ip:port")
SETTING_TEXT(vm_list,
             "platform.vm_list",
             "",
             "address of the platform's VM list, ip:port")
SETTING_TEXT(origin,
             "platform.origin",
             "",
             "address of the weight origin, ip:port")
SETTING_TEXT(engine,
             "engine.address",
             "",
             "address of the backend server, ip:port; agents only")
SETTING_NUMBER(max_report_age_ms,
               "engine.report_lag",
               2000,
               0,
               60000,
               "ms",
               "maximum age of the engine's reports")
SETTING_TEXT(peers,
             "peers.first",
             "",
             "addresses to get a configuration from at start, ip:port,...")
SETTING_TEXT(public_key,
             "keys.public",
             "",
             "public key (Z85) of this process; empty for links without keys")
SETTING_TEXT(secret_key, "keys.secret", "", "secret key (Z85) of this process")
SETTING_TEXT(fleet_key,
             "keys.fleet",
             "",
             "public key (Z85) that all processes accept")
SETTING_NUMBER(watch_interval_ms,
               "control.watch",
               14000,
               50,
               60000,
               "ms",
               "time between heartbeats to a server that an entry watches")
SETTING_NUMBER(heartbeat_interval_ms,
               "control.heartbeat",
               3000,
               50,
               60000,
               "ms",
               "time between heartbeats to a neighbour")
SETTING_NUMBER(suspect_timeout_ms,
               "control.suspect",
               9000,
               100,
               120000,
               "ms",
               "time without an answer after which a neighbour is suspected")
SETTING_NUMBER(neighbours,
               "control.neighbours",
               6,
               2,
               64,
               "VMs",
               "neighbours in the failure domain of this VM")
SETTING_NUMBER(pause_threshold_ms,
               "control.pause",
               1500,
               100,
               60000,
               "ms",
               "gap between runs of the control loop that counts as a pause")
SETTING_NUMBER(store_timeout_ms,
               "store.timeout",
               2000,
               50,
               60000,
               "ms",
               "time to wait for the store's answer")
SETTING_NUMBER(store_wait_s,
               "store.wait",
               4,
               1,
               300,
               "s",
               "maximum time for which a watch of the store blocks")
SETTING_NUMBER(
    chunk_timeout_ms,
    "weights.chunk_timeout",
    2500,
    100,
    120000,
    "ms",
    "time without an answer after which a chunk is requested elsewhere")
SETTING_NUMBER(weight_rate,
               "weights.rate",
               8388608,
               1024,
               10000000000,
               "bytes/s",
               "maximum rate of sending weights, and of receiving them")
SETTING_NUMBER(staging_mb,
               "weights.staging",
               65536,
               1,
               4194304,
               "MiB",
               "memory for staged weights")
SETTING_NUMBER(
    direct,
    "weights.direct",
    0,
    0,
    1,
    "",
    "1: fetches all weights directly from the origin; for benchmarks")
SETTING_NUMBER(weight_neighbours,
               "weights.neighbours",
               10,
               2,
               64,
               "VMs",
               "servers that weights are exchanged with")
SETTING_NUMBER(upload_queue,
               "weights.upload_queue",
               4,
               1,
               64,
               "chunks",
               "chunks queued for sending before others are refused")
SETTING_NUMBER(queue_length,
               "admission.queue",
               16,
               0,
               10000,
               "requests",
               "requests queued at a full server")
SETTING_NUMBER(deadline_ms,
               "request.deadline",
               30000,
               100,
               600000,
               "ms",
               "default deadline of a request")
SETTING_NUMBER(progress_timeout_ms,
               "request.progress",
               5000,
               100,
               600000,
               "ms",
               "time without progress after which an attempt is aborted")
SETTING_NUMBER(retry_percent,
               "request.retry_budget",
               20,
               0,
               100,
               "%",
               "retries allowed per request answered")
SETTING_NUMBER(subset,
               "routing.subset",
               24,
               1,
               4096,
               "servers",
               "servers of a service that an entry routes to and watches")
SETTING_NUMBER(
    baseline,
    "baseline.policy",
    0,
    0,
    1,
    "",
    "1: random choice, no admission limit, no retry budget; for benchmarks")
SETTING_NUMBER(drain_s,
               "shutdown.drain",
               60,
               1,
               3600,
               "s",
               "maximum time for requests to finish at shutdown")
