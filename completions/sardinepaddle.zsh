#compdef sardinepaddle

autoload -U is-at-least

_sardinepaddle() {
    typeset -A opt_args
    typeset -a _arguments_options
    local ret=1

    if is-at-least 5.2; then
        _arguments_options=(-s -S -C)
    else
        _arguments_options=(-s -C)
    fi

    local context curcontext="$curcontext" state line
    _arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
'-V[Print version]' \
'--version[Print version]' \
":: :_sardinepaddle_commands" \
"*::: :->sardinepaddle" \
&& ret=0
    case $state in
    (sardinepaddle)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-command-$line[1]:"
        case $line[1] in
            (apply)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':file -- Configuration (YAML):_files' \
&& ret=0
;;
(audit)
_arguments "${_arguments_options[@]}" : \
'--last=[Most changes shown, the newest ones; all if not given]:COUNT:_default' \
'--write-id=[Only the change of this write; fails if there is none]:ID:_default' \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
'--as=[What the file is for; told by its keys if not given]:KIND:(answers config daemon operator)' \
'-h[Print help]' \
'--help[Print help]' \
':file -- File to check (YAML):_files' \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
':shell -- The shell:(bash elvish fish powershell zsh)' \
&& ret=0
;;
(customer)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
":: :_sardinepaddle__subcmd__customer_commands" \
"*::: :->customer" \
&& ret=0

    case $state in
    (customer)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-customer-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
'--weight=[Weight of its fair share]:WEIGHT:_default' \
'--max-in-flight=[Most requests in flight at one daemon]:MAX_IN_FLIGHT:_default' \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name, as callers send it:_default' \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__customer__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-customer-help-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
;;
(data-centre)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
":: :_sardinepaddle__subcmd__data-centre_commands" \
"*::: :->data-centre" \
&& ret=0

    case $state in
    (data-centre)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-data-centre-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
'--region=[Region that it lies in]:REGION:_default' \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(take-out)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(bring-back)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__data-centre__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-data-centre-help-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(take-out)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(bring-back)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
;;
(demo)
_arguments "${_arguments_options[@]}" : \
'--seed=[Seed of the load]:SEED:_default' \
'--json[Print one JSON object and nothing else on standard output]' \
'-h[Print help (see more with '\''--help'\'')]' \
'--help[Print help (see more with '\''--help'\'')]' \
&& ret=0
;;
(diff)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
':file -- Configuration (YAML):_files' \
&& ret=0
;;
(endpoint)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
":: :_sardinepaddle__subcmd__endpoint_commands" \
"*::: :->endpoint" \
&& ret=0

    case $state in
    (endpoint)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-endpoint-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--service=[Service that it serves]:SERVICE:_default' \
'--data-centre=[Data centre that it stands in]:DATA_CENTRE:_default' \
'--address=[Address that it listens on]:IP:PORT:_default' \
'--slots=[Most requests that it runs at once when warm]:SLOTS:_default' \
'--memory-tokens=[Tokens that its memory holds (engines)]:MEMORY_TOKENS:_default' \
'--cold-slots=[Requests that it carries right after a cold start]:COLD_SLOTS:_default' \
'--checks-orders[It refuses an order with an old fencing number]' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(take-out)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(bring-back)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__endpoint__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-endpoint-help-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(take-out)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(bring-back)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
;;
(init)
_arguments "${_arguments_options[@]}" : \
'--answers=[Answers (YAML), in place of asking]:FILE:_files' \
'--output=[File for the configuration; standard output if not given]:FILE:_files' \
'(--answers)--save-answers=[File for the answers given, to start from another time]:FILE:_files' \
'-h[Print help (see more with '\''--help'\'')]' \
'--help[Print help (see more with '\''--help'\'')]' \
&& ret=0
;;
(service)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
":: :_sardinepaddle__subcmd__service_commands" \
"*::: :->service" \
&& ret=0

    case $state in
    (service)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-service-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
'--model=[Name by which callers ask for the model]:MODEL:_default' \
'--path-prefix=[Path prefix of the plain service'\''s calls]:PATH_PREFIX:_default' \
'(--path-prefix)--bytes-per-token=[Bytes of prompt text counted as one token (models)]:BYTES_PER_TOKEN:_default' \
'--timeout-ms=[Time that a request may take, in milliseconds]:TIMEOUT_MS:_default' \
'(--model)*--non-idempotent=[Calls that may not run twice, as method and path prefix; may be given again]:'METHOD /PATH':_default' \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'-h[Print help]' \
'--help[Print help]' \
':name -- Its name:_default' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__service__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-service-help-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
;;
(status)
_arguments "${_arguments_options[@]}" : \
'--object-api=[Address of the object API]:IP:PORT:_default' \
'--host-list=[Address of the host list]:IP:PORT:_default' \
'--who=[Name written to the audit trail; the user'\''s name if not given]:NAME:_default' \
'--settings=[Settings file (YAML) with object_api, host_list and who. Flags go before it]:FILE:_files' \
'--json[Print one JSON value and nothing else on standard output]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(load)
_arguments "${_arguments_options[@]}" : \
'--json[Print one JSON object and nothing else on standard output]' \
'-h[Print help (see more with '\''--help'\'')]' \
'--help[Print help (see more with '\''--help'\'')]' \
':experiment -- The experiment, in YAML:_files' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-help-command-$line[1]:"
        case $line[1] in
            (apply)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(audit)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(customer)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__help__subcmd__customer_commands" \
"*::: :->customer" \
&& ret=0

    case $state in
    (customer)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-help-customer-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
(data-centre)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__help__subcmd__data-centre_commands" \
"*::: :->data-centre" \
&& ret=0

    case $state in
    (data-centre)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-help-data-centre-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(take-out)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(bring-back)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
(demo)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(diff)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(endpoint)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__help__subcmd__endpoint_commands" \
"*::: :->endpoint" \
&& ret=0

    case $state in
    (endpoint)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-help-endpoint-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(take-out)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(bring-back)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
(init)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(service)
_arguments "${_arguments_options[@]}" : \
":: :_sardinepaddle__subcmd__help__subcmd__service_commands" \
"*::: :->service" \
&& ret=0

    case $state in
    (service)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:sardinepaddle-help-service-command-$line[1]:"
        case $line[1] in
            (create)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(list)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(remove)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
(status)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(load)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
}

(( $+functions[_sardinepaddle_commands] )) ||
_sardinepaddle_commands() {
    local commands; commands=(
'apply:Put a configuration file in force, after checking it' \
'audit:Show accepted changes\: who, when, what, before and after' \
'check:Check a settings, configuration or answers file and show every fault with its place' \
'completions:Print the completions for a shell' \
'customer:Create, list and remove customers' \
'data-centre:Create, list, take out, bring back and remove data centres' \
'demo:Show the system at work against stand-ins, with nothing set up' \
'diff:Show what \`apply\` would change' \
'endpoint:Create, list, take out, bring back and remove endpoints' \
'init:Generate a first configuration from a questionnaire' \
'service:Create, list and remove services' \
'status:Show the configuration'\''s version and age, and how each daemon is' \
'load:Measure a load against daemons, or against stand-ins in this process' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__apply_commands] )) ||
_sardinepaddle__subcmd__apply_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle apply commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__audit_commands] )) ||
_sardinepaddle__subcmd__audit_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle audit commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__check_commands] )) ||
_sardinepaddle__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle check commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__completions_commands] )) ||
_sardinepaddle__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle completions commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer_commands] )) ||
_sardinepaddle__subcmd__customer_commands() {
    local commands; commands=(
'create:Create a customer' \
'list:List the customers' \
'remove:Remove a customer; its requests are refused from then on' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle customer commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__help_commands() {
    local commands; commands=(
'create:Create a customer' \
'list:List the customers' \
'remove:Remove a customer; its requests are refused from then on' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle customer help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__help__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__help__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer help create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__help__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer help help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__help__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__help__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer help list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__help__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__help__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer help remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__customer__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__customer__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle customer remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre_commands] )) ||
_sardinepaddle__subcmd__data-centre_commands() {
    local commands; commands=(
'create:Create a data centre' \
'list:List the data centres' \
'take-out:Take a data centre out\: no new work, running work finishes' \
'bring-back:Bring a data centre back; its endpoints count as cold' \
'remove:Remove a data centre without endpoints' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle data-centre commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__bring-back_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__bring-back_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre bring-back commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help_commands() {
    local commands; commands=(
'create:Create a data centre' \
'list:List the data centres' \
'take-out:Take a data centre out\: no new work, running work finishes' \
'bring-back:Bring a data centre back; its endpoints count as cold' \
'remove:Remove a data centre without endpoints' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle data-centre help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__bring-back_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__bring-back_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre help bring-back commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre help create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre help help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre help list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre help remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__take-out_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__help__subcmd__take-out_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre help take-out commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__data-centre__subcmd__take-out_commands] )) ||
_sardinepaddle__subcmd__data-centre__subcmd__take-out_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle data-centre take-out commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__demo_commands] )) ||
_sardinepaddle__subcmd__demo_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle demo commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__diff_commands] )) ||
_sardinepaddle__subcmd__diff_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle diff commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint_commands] )) ||
_sardinepaddle__subcmd__endpoint_commands() {
    local commands; commands=(
'create:Create an endpoint' \
'list:List the endpoints' \
'take-out:Take an endpoint out\: no new work, running work finishes' \
'bring-back:Bring an endpoint back; it counts as cold' \
'remove:Remove an endpoint' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle endpoint commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__bring-back_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__bring-back_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint bring-back commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help_commands() {
    local commands; commands=(
'create:Create an endpoint' \
'list:List the endpoints' \
'take-out:Take an endpoint out\: no new work, running work finishes' \
'bring-back:Bring an endpoint back; it counts as cold' \
'remove:Remove an endpoint' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle endpoint help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__bring-back_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__bring-back_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint help bring-back commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint help create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint help help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint help list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint help remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__take-out_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__take-out_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint help take-out commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__endpoint__subcmd__take-out_commands] )) ||
_sardinepaddle__subcmd__endpoint__subcmd__take-out_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle endpoint take-out commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__help_commands() {
    local commands; commands=(
'apply:Put a configuration file in force, after checking it' \
'audit:Show accepted changes\: who, when, what, before and after' \
'check:Check a settings, configuration or answers file and show every fault with its place' \
'completions:Print the completions for a shell' \
'customer:Create, list and remove customers' \
'data-centre:Create, list, take out, bring back and remove data centres' \
'demo:Show the system at work against stand-ins, with nothing set up' \
'diff:Show what \`apply\` would change' \
'endpoint:Create, list, take out, bring back and remove endpoints' \
'init:Generate a first configuration from a questionnaire' \
'service:Create, list and remove services' \
'status:Show the configuration'\''s version and age, and how each daemon is' \
'load:Measure a load against daemons, or against stand-ins in this process' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__apply_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__apply_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help apply commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__audit_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__audit_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help audit commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__check_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help check commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__completions_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help completions commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__customer_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__customer_commands() {
    local commands; commands=(
'create:Create a customer' \
'list:List the customers' \
'remove:Remove a customer; its requests are refused from then on' \
    )
    _describe -t commands 'sardinepaddle help customer commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__customer__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__customer__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help customer create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__customer__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__customer__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help customer list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__customer__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__customer__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help customer remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__data-centre_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__data-centre_commands() {
    local commands; commands=(
'create:Create a data centre' \
'list:List the data centres' \
'take-out:Take a data centre out\: no new work, running work finishes' \
'bring-back:Bring a data centre back; its endpoints count as cold' \
'remove:Remove a data centre without endpoints' \
    )
    _describe -t commands 'sardinepaddle help data-centre commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__bring-back_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__bring-back_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help data-centre bring-back commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help data-centre create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help data-centre list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help data-centre remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__take-out_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__data-centre__subcmd__take-out_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help data-centre take-out commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__demo_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__demo_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help demo commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__diff_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__diff_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help diff commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__endpoint_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__endpoint_commands() {
    local commands; commands=(
'create:Create an endpoint' \
'list:List the endpoints' \
'take-out:Take an endpoint out\: no new work, running work finishes' \
'bring-back:Bring an endpoint back; it counts as cold' \
'remove:Remove an endpoint' \
    )
    _describe -t commands 'sardinepaddle help endpoint commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__bring-back_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__bring-back_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help endpoint bring-back commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help endpoint create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help endpoint list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help endpoint remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__take-out_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__take-out_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help endpoint take-out commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__init_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__init_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help init commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__load_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__load_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help load commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__service_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__service_commands() {
    local commands; commands=(
'create:Create a service\: a model or a plain service' \
'list:List the services' \
'remove:Remove a service without endpoints' \
    )
    _describe -t commands 'sardinepaddle help service commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__service__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__service__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help service create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__service__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__service__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help service list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__service__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__service__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help service remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__help__subcmd__status_commands] )) ||
_sardinepaddle__subcmd__help__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle help status commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__init_commands] )) ||
_sardinepaddle__subcmd__init_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle init commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__load_commands] )) ||
_sardinepaddle__subcmd__load_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle load commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service_commands] )) ||
_sardinepaddle__subcmd__service_commands() {
    local commands; commands=(
'create:Create a service\: a model or a plain service' \
'list:List the services' \
'remove:Remove a service without endpoints' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle service commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__help_commands() {
    local commands; commands=(
'create:Create a service\: a model or a plain service' \
'list:List the services' \
'remove:Remove a service without endpoints' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'sardinepaddle service help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__help__subcmd__create_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__help__subcmd__create_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service help create commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__help__subcmd__help_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service help help commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__help__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__help__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service help list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__help__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__help__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service help remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__list_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__list_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service list commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__service__subcmd__remove_commands] )) ||
_sardinepaddle__subcmd__service__subcmd__remove_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle service remove commands' commands "$@"
}
(( $+functions[_sardinepaddle__subcmd__status_commands] )) ||
_sardinepaddle__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'sardinepaddle status commands' commands "$@"
}

if [ "$funcstack[1]" = "_sardinepaddle" ]; then
    _sardinepaddle "$@"
else
    compdef _sardinepaddle sardinepaddle
fi
