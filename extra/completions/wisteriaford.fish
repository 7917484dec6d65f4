# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_wisteriaford_global_optspecs
    string join \n output= log-address= daemon= timeout-ms= h/help V/version
end

function __fish_wisteriaford_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_wisteriaford_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_wisteriaford_using_subcommand
    set -l cmd (__fish_wisteriaford_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -s V -l version -d 'Print version'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "check" -d 'Check a configuration file and print every fault with its line and column'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "publish" -d 'Publish a configuration file and wait until it is accepted or rejected'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "show" -d 'Show the configuration in force, as TOML or JSON'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "status" -d 'Show the status of the daemons, their members and their endpoints'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "shares" -d 'Show the tokens that each caller was entitled to and received, summed over the daemons'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "explain" -d 'Show the decisions made for a request, or where a request or a batch job would go now'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "rollout" -d 'Run training steps as a reference trainer and print statistics of the samples received'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "pages" -d 'Write man pages and shell completions'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l base -d 'Revision that the file is based on; the publication is rejected if another one is in force. Default: the revision in force' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l author -d 'Name of the publisher, for information only' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l wait-ms -d 'Maximum time to wait for the publication to be accepted or rejected, in milliseconds, 100 to 3600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l restore -d 'Publish even though the log has lost every copy of the configuration in force'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l source -d 'Source of the configuration' -r -f -a "log\t'The platform\'s log, read by the same rules as the daemons use'
daemons\t'The daemons; shows the highest revision that any of them reports'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l request -d 'Host and path of a request that would be made now' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l job -d 'Id of a batch job' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l organisation -d 'Organisation that sends the request; names no key' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l id -d 'Id of the request, which selects the pool of a route with several' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l trainer -d 'Name of the caller that runs the training' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l pool -d 'Name of a pool of model engines' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l steps -d 'Number of steps to run' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l first-step -d 'Number of the first step; the trainer must not have used it before. Default: the time in seconds since the Unix epoch' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l groups -d 'Number of groups per step' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l group-size -d 'Number of samples per group' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l max-tokens -d 'Maximum number of tokens per sample' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l prompt -d 'Prompt of each group; {step} and {group} are replaced by their numbers' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l current-version -d 'Current weight version of the trainer. Default: the highest version that the daemons report for the pool, fetched before each step' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l staleness-bound -d 'Maximum number of versions that the weights of a sample may be behind the trainer\'s. Default: the bound of the pool in the configuration in force' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l wait-ms -d 'Maximum time that each pull waits for samples, in milliseconds, 0 to 60000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l step-timeout-ms -d 'Timeout of each step, in milliseconds' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l directory -d 'Directory in which `man` and `completions` are created' -r -F
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l output -d 'Output format' -r -f -a "text\t'Human-readable text; errors are printed to standard error'
json\t'One JSON object on standard output, also for errors'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l log-address -d 'IP address and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l daemon -d 'IP address and port of a daemon\'s caller interface; may be repeated or comma-separated' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l timeout-ms -d 'Timeout for connecting and for inactivity of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -s h -l help -d 'Print help (see more with \'--help\')'
