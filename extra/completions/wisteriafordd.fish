complete -c wisteriafordd -l instance-id -d 'Unique name of this instance: 1 to 128 letters, digits or any of `-_.:/`. Required' -r
complete -c wisteriafordd -l availability-zone -d 'Availability zone that this instance runs in: 1 to 128 letters, digits or any of `-_.:/`. Required' -r
complete -c wisteriafordd -l region -d 'Region that this instance runs in: 1 to 128 letters, digits or any of `-_.:/`' -r
complete -c wisteriafordd -l listen -d 'IP number and port for callers, health checks and metrics; port 1 to 65535' -r
complete -c wisteriafordd -l peer-listen -d 'IP number and port for the other instances; must be one that they can reach; port 1 to 65535' -r
complete -c wisteriafordd -l peers -d 'Peer addresses of some other instances, separated by commas: IP number and port 1 to 65535 of each. Optional; an instance without any starts a fleet of its own, unless the platform lists others' -r
complete -c wisteriafordd -l log-address -d 'IP number and port of the platform\'s log; port 1 to 65535. Required' -r
complete -c wisteriafordd -l weight-store-address -d 'IP number and port of the weight store; port 1 to 65535. Required' -r
complete -c wisteriafordd -l instance-list-address -d 'IP number and port of the platform\'s list of instances; port 1 to 65535. Optional; without it the fleet knows its members by gossip alone' -r
complete -c wisteriafordd -l max-connections -d 'Connections of callers served at once, 1 to 65536' -r
complete -c wisteriafordd -l max-body-bytes -d 'Longest body that a caller may send, in bytes, 1024 to 268435456' -r
complete -c wisteriafordd -l default-timeout-ms -d 'Time that a generation has if its caller names none, in milliseconds, 100 to 3600000; not less than the silence timeout' -r
complete -c wisteriafordd -l silence-timeout-ms -d 'Longest silence of the platform, or of an endpoint that is polled or given an order, before the call is given up, in milliseconds, 100 to 60000' -r
complete -c wisteriafordd -l shutdown-timeout-ms -d 'Longest time that a graceful shutdown waits for requests in progress, in milliseconds, 0 to 3600000' -r
complete -c wisteriafordd -l log-level -d 'Least severe level of the lines logged' -r -f -a "off\t''
error\t''
warn\t''
info\t''
debug\t''
trace\t''"
complete -c wisteriafordd -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriafordd -s V -l version -d 'Print version'
