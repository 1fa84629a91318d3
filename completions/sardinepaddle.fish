# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_sardinepaddle_global_optspecs
    string join \n h/help V/version
end

function __fish_sardinepaddle_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_sardinepaddle_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_sardinepaddle_using_subcommand
    set -l cmd (__fish_sardinepaddle_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -s V -l version -d 'Print version'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "apply" -d 'Put a configuration file in force, after checking it'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "audit" -d 'Show accepted changes: who, when, what, before and after'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "check" -d 'Check a settings, configuration or answers file and show every fault with its place'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "completions" -d 'Print the completions for a shell'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "customer" -d 'Create, list and remove customers'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "data-centre" -d 'Create, list, take out, bring back and remove data centres'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "demo" -d 'Show the system at work against stand-ins, with nothing set up'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "diff" -d 'Show what `apply` would change'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "endpoint" -d 'Create, list, take out, bring back and remove endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "init" -d 'Generate a first configuration from a questionnaire'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "service" -d 'Create, list and remove services'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "status" -d 'Show the configuration\'s version and age, and how each daemon is'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "load" -d 'Measure a load against daemons, or against stand-ins in this process'
complete -c sardinepaddle -n "__fish_sardinepaddle_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand apply" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand apply" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand apply" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand apply" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand apply" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l last -d 'Most changes shown, the newest ones; all if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l write-id -d 'Only the change of this write; fails if there is none' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand audit" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand check" -l as -d 'What the file is for; told by its keys if not given' -r -f -a "answers\t''
config\t''
daemon\t''
operator\t''"
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand check" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand completions" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and not __fish_seen_subcommand_from create list remove help" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and not __fish_seen_subcommand_from create list remove help" -f -a "create" -d 'Create a customer'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and not __fish_seen_subcommand_from create list remove help" -f -a "list" -d 'List the customers'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and not __fish_seen_subcommand_from create list remove help" -f -a "remove" -d 'Remove a customer; its requests are refused from then on'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and not __fish_seen_subcommand_from create list remove help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -l weight -d 'Weight of its fair share' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -l max-in-flight -d 'Most requests in flight at one daemon' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from create" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from list" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from list" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from list" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from list" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from list" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from remove" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from remove" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from remove" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from remove" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from help" -f -a "create" -d 'Create a customer'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the customers'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove a customer; its requests are refused from then on'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand customer; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "create" -d 'Create a data centre'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "list" -d 'List the data centres'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "take-out" -d 'Take a data centre out: no new work, running work finishes'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "bring-back" -d 'Bring a data centre back; its endpoints count as cold'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "remove" -d 'Remove a data centre without endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from create" -l region -d 'Region that it lies in' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from create" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from create" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from create" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from create" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from create" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from list" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from list" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from list" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from list" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from list" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from take-out" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from take-out" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from take-out" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from take-out" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from take-out" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from bring-back" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from bring-back" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from bring-back" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from bring-back" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from bring-back" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from remove" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from remove" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from remove" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from remove" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from help" -f -a "create" -d 'Create a data centre'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the data centres'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from help" -f -a "take-out" -d 'Take a data centre out: no new work, running work finishes'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from help" -f -a "bring-back" -d 'Bring a data centre back; its endpoints count as cold'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove a data centre without endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand data-centre; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand demo" -l seed -d 'Seed of the load' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand demo" -l json -d 'Print one JSON object and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand demo" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand diff" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand diff" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand diff" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand diff" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand diff" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand diff" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "create" -d 'Create an endpoint'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "list" -d 'List the endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "take-out" -d 'Take an endpoint out: no new work, running work finishes'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "bring-back" -d 'Bring an endpoint back; it counts as cold'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "remove" -d 'Remove an endpoint'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and not __fish_seen_subcommand_from create list take-out bring-back remove help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l service -d 'Service that it serves' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l data-centre -d 'Data centre that it stands in' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l address -d 'Address that it listens on' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l slots -d 'Most requests that it runs at once when warm' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l memory-tokens -d 'Tokens that its memory holds (engines)' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l cold-slots -d 'Requests that it carries right after a cold start' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -l checks-orders -d 'It refuses an order with an old fencing number'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from create" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from list" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from list" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from list" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from list" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from list" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from take-out" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from take-out" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from take-out" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from take-out" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from take-out" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from bring-back" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from bring-back" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from bring-back" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from bring-back" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from bring-back" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from remove" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from remove" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from remove" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from remove" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from help" -f -a "create" -d 'Create an endpoint'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from help" -f -a "take-out" -d 'Take an endpoint out: no new work, running work finishes'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from help" -f -a "bring-back" -d 'Bring an endpoint back; it counts as cold'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove an endpoint'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand endpoint; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand init" -l answers -d 'Answers (YAML), in place of asking' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand init" -l output -d 'File for the configuration; standard output if not given' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand init" -l save-answers -d 'File for the answers given, to start from another time' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand init" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and not __fish_seen_subcommand_from create list remove help" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and not __fish_seen_subcommand_from create list remove help" -f -a "create" -d 'Create a service: a model or a plain service'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and not __fish_seen_subcommand_from create list remove help" -f -a "list" -d 'List the services'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and not __fish_seen_subcommand_from create list remove help" -f -a "remove" -d 'Remove a service without endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and not __fish_seen_subcommand_from create list remove help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l model -d 'Name by which callers ask for the model' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l path-prefix -d 'Path prefix of the plain service\'s calls' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l bytes-per-token -d 'Bytes of prompt text counted as one token (models)' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l timeout-ms -d 'Time that a request may take, in milliseconds' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l non-idempotent -d 'Calls that may not run twice, as method and path prefix; may be given again' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from create" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from list" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from list" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from list" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from list" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from list" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from remove" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from remove" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from remove" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from remove" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "create" -d 'Create a service: a model or a plain service'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the services'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove a service without endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand status" -l object-api -d 'Address of the object API' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand status" -l host-list -d 'Address of the host list' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand status" -l who -d 'Name written to the audit trail; the user\'s name if not given' -r
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand status" -l settings -d 'Settings file (YAML) with object_api, host_list and who. Flags go before it' -r -F
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand status" -l json -d 'Print one JSON value and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand status" -s h -l help -d 'Print help'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand load" -l json -d 'Print one JSON object and nothing else on standard output'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand load" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "apply" -d 'Put a configuration file in force, after checking it'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "audit" -d 'Show accepted changes: who, when, what, before and after'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "check" -d 'Check a settings, configuration or answers file and show every fault with its place'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "completions" -d 'Print the completions for a shell'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "customer" -d 'Create, list and remove customers'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "data-centre" -d 'Create, list, take out, bring back and remove data centres'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "demo" -d 'Show the system at work against stand-ins, with nothing set up'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "diff" -d 'Show what `apply` would change'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "endpoint" -d 'Create, list, take out, bring back and remove endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "init" -d 'Generate a first configuration from a questionnaire'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "service" -d 'Create, list and remove services'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "status" -d 'Show the configuration\'s version and age, and how each daemon is'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "load" -d 'Measure a load against daemons, or against stand-ins in this process'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and not __fish_seen_subcommand_from apply audit check completions customer data-centre demo diff endpoint init service status load help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from customer" -f -a "create" -d 'Create a customer'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from customer" -f -a "list" -d 'List the customers'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from customer" -f -a "remove" -d 'Remove a customer; its requests are refused from then on'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from data-centre" -f -a "create" -d 'Create a data centre'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from data-centre" -f -a "list" -d 'List the data centres'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from data-centre" -f -a "take-out" -d 'Take a data centre out: no new work, running work finishes'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from data-centre" -f -a "bring-back" -d 'Bring a data centre back; its endpoints count as cold'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from data-centre" -f -a "remove" -d 'Remove a data centre without endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from endpoint" -f -a "create" -d 'Create an endpoint'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from endpoint" -f -a "list" -d 'List the endpoints'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from endpoint" -f -a "take-out" -d 'Take an endpoint out: no new work, running work finishes'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from endpoint" -f -a "bring-back" -d 'Bring an endpoint back; it counts as cold'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from endpoint" -f -a "remove" -d 'Remove an endpoint'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "create" -d 'Create a service: a model or a plain service'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "list" -d 'List the services'
complete -c sardinepaddle -n "__fish_sardinepaddle_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "remove" -d 'Remove a service without endpoints'
