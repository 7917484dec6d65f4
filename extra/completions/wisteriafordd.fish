complete -c wisteriafordd -l instance-id -d 'Unique name of this instance: 1 to 128 letters, digits or any of `-_.:/`. Required' -r
complete -c wisteriafordd -l availability-zone -d 'Availability zone that this instance runs in: 1 to 128 letters, digits or any of `-_.:/`. Required' -r
complete -c wisteriafordd -l region -d 'Region that this instance runs in: 1 to 128 letters, digits or any of `-_.:/`' -r
complete -c wisteriafordd -l listen -d 'IP address and port to listen on for callers, health checks and metrics; port 1 to 65535' -r
complete -c wisteriafordd -l peer-listen -d 'IP address and port to listen on for other instances, which must be able to reach it; port 1 to 65535' -r
complete -c wisteriafordd -l peers -d 'Comma-separated peer addresses of other instances, each an IP address with port 1 to 65535. Optional; without any, the instance starts a new fleet unless the platform\'s list of instances contains others' -r
complete -c wisteriafordd -l log-address -d 'IP address and port of the platform\'s log; port 1 to 65535. Required' -r
complete -c wisteriafordd -l weight-store-address -d 'IP address and port of the weight store; port 1 to 65535. Required' -r
complete -c wisteriafordd -l instance-list-address -d 'IP address and port of the platform\'s list of instances; port 1 to 65535. Optional; without it, members are discovered by gossip only' -r
complete -c wisteriafordd -l max-connections -d 'Connections from callers served concurrently, 1 to 65536' -r
complete -c wisteriafordd -l memory-mb -d 'Memory of the machine, in megabytes, 64 to 1048576; what is held for callers stays within a part of it. Optional; without it, it has no limit' -r
complete -c wisteriafordd -l max-body-bytes -d 'Maximum size of a request body, in bytes, 1024 to 268435456' -r
complete -c wisteriafordd -l default-timeout-ms -d 'Timeout of a generation whose request sets none, in milliseconds, 100 to 3600000; not less than the silence timeout' -r
complete -c wisteriafordd -l silence-timeout-ms -d 'Time without an answer after which a call to the platform, or a poll of or an order to an endpoint, is aborted, in milliseconds, 100 to 60000' -r
complete -c wisteriafordd -l shutdown-timeout-ms -d 'Maximum time for which a graceful shutdown waits for requests in progress, in milliseconds, 0 to 3600000' -r
complete -c wisteriafordd -l log-level -d 'Least severe level to log' -r -f -a "off\t''
error\t''
warn\t''
info\t''
debug\t''
trace\t''"
complete -c wisteriafordd -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriafordd -s V -l version -d 'Print version'
