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

complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -s V -l version -d 'Print version'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "check" -d 'Check a configuration file and print every fault with its line and column'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "publish" -d 'Publish a configuration file and wait until it is accepted or rejected'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "show" -d 'Show the configuration in force, as TOML or JSON'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "status" -d 'Show the state of the daemons, their members and their endpoints'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "shares" -d 'Show what each caller was entitled to and received, summed over the daemons'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "explain" -d 'Show what was decided about a request; the daemons are asked until one knows it'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "rollout" -d 'Run training steps as a reference trainer and print what came'
complete -c wisteriaford -n "__fish_wisteriaford_needs_command" -f -a "pages" -d 'Write man pages and shell completions'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand check" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l base -d 'Revision that the file was made from; another one in force rejects the publication. Default: the revision in force' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l author -d 'Who publishes, for people' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l wait-ms -d 'Longest time until the publication is accepted or rejected, in milliseconds, 100 to 3600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -l restore -d 'Publish although the log has lost every copy of the configuration in force'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand publish" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l source -d 'Where to look' -r -f -a "log\t'The platform\'s log, by the same rule as the daemons'
daemons\t'The daemons; the highest revision is shown'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand show" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand status" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand shares" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand explain" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l trainer -d 'Caller that trains' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l pool -d 'Pool of model engines' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l steps -d 'Steps to run' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l first-step -d 'Number of the first step; the trainer must not have used it before. Default: the time in seconds since 1970' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l groups -d 'Groups of a step' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l group-size -d 'Samples of a group' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l max-tokens -d 'Most tokens of a sample' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l prompt -d 'Prompt of each group; {step} and {group} stand for the numbers' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l current-version -d 'Version of the weights that the trainer is at. Default: before each step, the highest that the daemons report for the pool' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l staleness-bound -d 'Oldest weights that a sample may name, in versions behind the trainer\'s. Default: the bound of the pool in the configuration in force' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l wait-ms -d 'Longest time that each pull waits for samples, in milliseconds, 0 to 60000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l step-timeout-ms -d 'Time that each step has, in milliseconds' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand rollout" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l directory -d 'Directory that gets `man` and `completions`' -r -F
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l output -d 'Form of the output' -r -f -a "text\t'For people; errors go to the standard error output'
json\t'One JSON object on the standard output, errors too'"
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l log-address -d 'IP number and port of the platform\'s log' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l daemon -d 'IP number and port of a daemon\'s caller interface; repeated, or with commas between them' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -l timeout-ms -d 'Longest time to connect and longest silence of a connection, in milliseconds, 100 to 600000' -r
complete -c wisteriaford -n "__fish_wisteriaford_using_subcommand pages" -s h -l help -d 'Print help (see more with \'--help\')'
