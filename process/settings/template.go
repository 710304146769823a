package settings

// Template is a commented settings file with every key.
const Template = `# Settings of one hyssopsilld node. Check with: hyssopsilld check --settings node.toml

# Unique name of the node in the fleet.
node = "node-1"
# Region and failure domain of the host.
region = "region-1"
domain = "domain-1"

# Shared secret of all nodes, at least 16 bytes. fleet_token_file = "path" reads it from a file.
fleet_token = "replace-this-shared-secret"

# The platform's append-only log service.
log_url = "http://127.0.0.1:7300"

# Time for which the log certainly keeps records, such as "72h". With "0s", not known, a node that starts after the
# stream of order bindings was trimmed refuses keys that customers made themselves for 24 h.
log_retention = "0s"

# Control addresses of other nodes; the log's stream of nodes adds to them.
seeds = []

# Service of the targets on this host, for surfaces that name the caller's service; may be empty.
host_service = ""

# Write decision records to the log's stream as well.
decision_stream = true

# On SIGTERM, keep taking new connections for this long, so that callers learn of the drain.
drain_notice = "1s"
# On SIGTERM, wait this long for running requests. 0 waits without bound; with a bound, requests beyond it are cut.
drain_timeout = "0s"

# debug, info, warn or error
log_level = "info"

[listen]
# Requests of callers.
caller = "127.0.0.1:7400"
# Requests from the entries of other nodes.
peer_data = "127.0.0.1:7401"
# Control messages between nodes.
peer_control = "127.0.0.1:7402"
# Announcements of the targets on this host.
announce = "127.0.0.1:7403"
# Health, metrics and explanations.
admin = "127.0.0.1:7404"
# Metrics alone, for a collector; empty: on the admin listener only.
metrics = ""

[advertise]
# Addresses under which other nodes reach this one; empty means the listener's address.
peer_data = ""
peer_control = ""

[limits]
# Header of a request or an answer, bytes.
header_bytes = 32768
# Body of a request, bytes; a class may allow less.
body_bytes = 1073741824
# Time within which the header of a request must arrive.
read_header_timeout = "5s"
# Time after which an idle connection is closed.
idle_timeout = "1m30s"
# Connections per listener.
connections = 10000

[defaults]
# Share of a service's targets that ejection leaves in rotation, where the configuration does not say.
floor = 0.5
# Work that may wait per slot of a target, where the configuration does not say.
queue_per_slot = 4
# Share of the first attempts that may be sent again.
retry_share = 0.1
# Attempts that may be sent again to a service in addition, over the whole fleet and within the window. The gates of the
# service keep to it together; with 0 each entry has a budget of its own, with one per second in addition.
retry_slack = 0.0
retry_window = "10s"
`
