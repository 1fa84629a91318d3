_sardinepaddle() {
    local i cur prev opts cmd
    COMPREPLY=()
    if [[ "${BASH_VERSINFO[0]}" -ge 4 ]]; then
        cur="$2"
    else
        cur="${COMP_WORDS[COMP_CWORD]}"
    fi
    prev="$3"
    cmd=""
    opts=""

    for i in "${COMP_WORDS[@]:0:COMP_CWORD}"
    do
        case "${cmd},${i}" in
            ",$1")
                cmd="sardinepaddle"
                ;;
            sardinepaddle,apply)
                cmd="sardinepaddle__subcmd__apply"
                ;;
            sardinepaddle,audit)
                cmd="sardinepaddle__subcmd__audit"
                ;;
            sardinepaddle,check)
                cmd="sardinepaddle__subcmd__check"
                ;;
            sardinepaddle,completions)
                cmd="sardinepaddle__subcmd__completions"
                ;;
            sardinepaddle,customer)
                cmd="sardinepaddle__subcmd__customer"
                ;;
            sardinepaddle,data-centre)
                cmd="sardinepaddle__subcmd__data__subcmd__centre"
                ;;
            sardinepaddle,demo)
                cmd="sardinepaddle__subcmd__demo"
                ;;
            sardinepaddle,diff)
                cmd="sardinepaddle__subcmd__diff"
                ;;
            sardinepaddle,endpoint)
                cmd="sardinepaddle__subcmd__endpoint"
                ;;
            sardinepaddle,help)
                cmd="sardinepaddle__subcmd__help"
                ;;
            sardinepaddle,init)
                cmd="sardinepaddle__subcmd__init"
                ;;
            sardinepaddle,load)
                cmd="sardinepaddle__subcmd__load"
                ;;
            sardinepaddle,service)
                cmd="sardinepaddle__subcmd__service"
                ;;
            sardinepaddle,status)
                cmd="sardinepaddle__subcmd__status"
                ;;
            sardinepaddle__subcmd__customer,create)
                cmd="sardinepaddle__subcmd__customer__subcmd__create"
                ;;
            sardinepaddle__subcmd__customer,help)
                cmd="sardinepaddle__subcmd__customer__subcmd__help"
                ;;
            sardinepaddle__subcmd__customer,list)
                cmd="sardinepaddle__subcmd__customer__subcmd__list"
                ;;
            sardinepaddle__subcmd__customer,remove)
                cmd="sardinepaddle__subcmd__customer__subcmd__remove"
                ;;
            sardinepaddle__subcmd__customer__subcmd__help,create)
                cmd="sardinepaddle__subcmd__customer__subcmd__help__subcmd__create"
                ;;
            sardinepaddle__subcmd__customer__subcmd__help,help)
                cmd="sardinepaddle__subcmd__customer__subcmd__help__subcmd__help"
                ;;
            sardinepaddle__subcmd__customer__subcmd__help,list)
                cmd="sardinepaddle__subcmd__customer__subcmd__help__subcmd__list"
                ;;
            sardinepaddle__subcmd__customer__subcmd__help,remove)
                cmd="sardinepaddle__subcmd__customer__subcmd__help__subcmd__remove"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre,bring-back)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__bring__subcmd__back"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre,create)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__create"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre,help)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre,list)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__list"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre,remove)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__remove"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre,take-out)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__take__subcmd__out"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre__subcmd__help,bring-back)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__bring__subcmd__back"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre__subcmd__help,create)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__create"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre__subcmd__help,help)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__help"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre__subcmd__help,list)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__list"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre__subcmd__help,remove)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__remove"
                ;;
            sardinepaddle__subcmd__data__subcmd__centre__subcmd__help,take-out)
                cmd="sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__take__subcmd__out"
                ;;
            sardinepaddle__subcmd__endpoint,bring-back)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__bring__subcmd__back"
                ;;
            sardinepaddle__subcmd__endpoint,create)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__create"
                ;;
            sardinepaddle__subcmd__endpoint,help)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help"
                ;;
            sardinepaddle__subcmd__endpoint,list)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__list"
                ;;
            sardinepaddle__subcmd__endpoint,remove)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__remove"
                ;;
            sardinepaddle__subcmd__endpoint,take-out)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__take__subcmd__out"
                ;;
            sardinepaddle__subcmd__endpoint__subcmd__help,bring-back)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__bring__subcmd__back"
                ;;
            sardinepaddle__subcmd__endpoint__subcmd__help,create)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__create"
                ;;
            sardinepaddle__subcmd__endpoint__subcmd__help,help)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__help"
                ;;
            sardinepaddle__subcmd__endpoint__subcmd__help,list)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__list"
                ;;
            sardinepaddle__subcmd__endpoint__subcmd__help,remove)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__remove"
                ;;
            sardinepaddle__subcmd__endpoint__subcmd__help,take-out)
                cmd="sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__take__subcmd__out"
                ;;
            sardinepaddle__subcmd__help,apply)
                cmd="sardinepaddle__subcmd__help__subcmd__apply"
                ;;
            sardinepaddle__subcmd__help,audit)
                cmd="sardinepaddle__subcmd__help__subcmd__audit"
                ;;
            sardinepaddle__subcmd__help,check)
                cmd="sardinepaddle__subcmd__help__subcmd__check"
                ;;
            sardinepaddle__subcmd__help,completions)
                cmd="sardinepaddle__subcmd__help__subcmd__completions"
                ;;
            sardinepaddle__subcmd__help,customer)
                cmd="sardinepaddle__subcmd__help__subcmd__customer"
                ;;
            sardinepaddle__subcmd__help,data-centre)
                cmd="sardinepaddle__subcmd__help__subcmd__data__subcmd__centre"
                ;;
            sardinepaddle__subcmd__help,demo)
                cmd="sardinepaddle__subcmd__help__subcmd__demo"
                ;;
            sardinepaddle__subcmd__help,diff)
                cmd="sardinepaddle__subcmd__help__subcmd__diff"
                ;;
            sardinepaddle__subcmd__help,endpoint)
                cmd="sardinepaddle__subcmd__help__subcmd__endpoint"
                ;;
            sardinepaddle__subcmd__help,help)
                cmd="sardinepaddle__subcmd__help__subcmd__help"
                ;;
            sardinepaddle__subcmd__help,init)
                cmd="sardinepaddle__subcmd__help__subcmd__init"
                ;;
            sardinepaddle__subcmd__help,load)
                cmd="sardinepaddle__subcmd__help__subcmd__load"
                ;;
            sardinepaddle__subcmd__help,service)
                cmd="sardinepaddle__subcmd__help__subcmd__service"
                ;;
            sardinepaddle__subcmd__help,status)
                cmd="sardinepaddle__subcmd__help__subcmd__status"
                ;;
            sardinepaddle__subcmd__help__subcmd__customer,create)
                cmd="sardinepaddle__subcmd__help__subcmd__customer__subcmd__create"
                ;;
            sardinepaddle__subcmd__help__subcmd__customer,list)
                cmd="sardinepaddle__subcmd__help__subcmd__customer__subcmd__list"
                ;;
            sardinepaddle__subcmd__help__subcmd__customer,remove)
                cmd="sardinepaddle__subcmd__help__subcmd__customer__subcmd__remove"
                ;;
            sardinepaddle__subcmd__help__subcmd__data__subcmd__centre,bring-back)
                cmd="sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__bring__subcmd__back"
                ;;
            sardinepaddle__subcmd__help__subcmd__data__subcmd__centre,create)
                cmd="sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__create"
                ;;
            sardinepaddle__subcmd__help__subcmd__data__subcmd__centre,list)
                cmd="sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__list"
                ;;
            sardinepaddle__subcmd__help__subcmd__data__subcmd__centre,remove)
                cmd="sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__remove"
                ;;
            sardinepaddle__subcmd__help__subcmd__data__subcmd__centre,take-out)
                cmd="sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__take__subcmd__out"
                ;;
            sardinepaddle__subcmd__help__subcmd__endpoint,bring-back)
                cmd="sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__bring__subcmd__back"
                ;;
            sardinepaddle__subcmd__help__subcmd__endpoint,create)
                cmd="sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__create"
                ;;
            sardinepaddle__subcmd__help__subcmd__endpoint,list)
                cmd="sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__list"
                ;;
            sardinepaddle__subcmd__help__subcmd__endpoint,remove)
                cmd="sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__remove"
                ;;
            sardinepaddle__subcmd__help__subcmd__endpoint,take-out)
                cmd="sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__take__subcmd__out"
                ;;
            sardinepaddle__subcmd__help__subcmd__service,create)
                cmd="sardinepaddle__subcmd__help__subcmd__service__subcmd__create"
                ;;
            sardinepaddle__subcmd__help__subcmd__service,list)
                cmd="sardinepaddle__subcmd__help__subcmd__service__subcmd__list"
                ;;
            sardinepaddle__subcmd__help__subcmd__service,remove)
                cmd="sardinepaddle__subcmd__help__subcmd__service__subcmd__remove"
                ;;
            sardinepaddle__subcmd__service,create)
                cmd="sardinepaddle__subcmd__service__subcmd__create"
                ;;
            sardinepaddle__subcmd__service,help)
                cmd="sardinepaddle__subcmd__service__subcmd__help"
                ;;
            sardinepaddle__subcmd__service,list)
                cmd="sardinepaddle__subcmd__service__subcmd__list"
                ;;
            sardinepaddle__subcmd__service,remove)
                cmd="sardinepaddle__subcmd__service__subcmd__remove"
                ;;
            sardinepaddle__subcmd__service__subcmd__help,create)
                cmd="sardinepaddle__subcmd__service__subcmd__help__subcmd__create"
                ;;
            sardinepaddle__subcmd__service__subcmd__help,help)
                cmd="sardinepaddle__subcmd__service__subcmd__help__subcmd__help"
                ;;
            sardinepaddle__subcmd__service__subcmd__help,list)
                cmd="sardinepaddle__subcmd__service__subcmd__help__subcmd__list"
                ;;
            sardinepaddle__subcmd__service__subcmd__help,remove)
                cmd="sardinepaddle__subcmd__service__subcmd__help__subcmd__remove"
                ;;
            *)
                ;;
        esac
    done

    case "${cmd}" in
        sardinepaddle)
            opts="-h -V --help --version apply audit check completions customer data-centre demo diff endpoint init service status load help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 1 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__apply)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__audit)
            opts="-h --last --write-id --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --last)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --write-id)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__check)
            opts="-h --as --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --as)
                    COMPREPLY=($(compgen -W "answers config daemon operator" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__completions)
            opts="-h --help bash elvish fish powershell zsh"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer)
            opts="-h --help create list remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__create)
            opts="-h --weight --max-in-flight --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --weight)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --max-in-flight)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__help)
            opts="create list remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__help__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__list)
            opts="-h --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__customer__subcmd__remove)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre)
            opts="-h --help create list take-out bring-back remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__bring__subcmd__back)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__create)
            opts="-h --region --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --region)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help)
            opts="create list take-out bring-back remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__bring__subcmd__back)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__help__subcmd__take__subcmd__out)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__list)
            opts="-h --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__remove)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__data__subcmd__centre__subcmd__take__subcmd__out)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__demo)
            opts="-h --json --seed --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --seed)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__diff)
            opts="-h --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint)
            opts="-h --help create list take-out bring-back remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__bring__subcmd__back)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__create)
            opts="-h --object-api --host-list --who --settings --service --data-centre --address --slots --memory-tokens --cold-slots --checks-orders --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --service)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --data-centre)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --address)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --slots)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --memory-tokens)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --cold-slots)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help)
            opts="create list take-out bring-back remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__bring__subcmd__back)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__help__subcmd__take__subcmd__out)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__list)
            opts="-h --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__remove)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__endpoint__subcmd__take__subcmd__out)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help)
            opts="apply audit check completions customer data-centre demo diff endpoint init service status load help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__audit)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__check)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__completions)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__customer)
            opts="create list remove"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__customer__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__customer__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__customer__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__data__subcmd__centre)
            opts="create list take-out bring-back remove"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__bring__subcmd__back)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__data__subcmd__centre__subcmd__take__subcmd__out)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__demo)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__endpoint)
            opts="create list take-out bring-back remove"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__bring__subcmd__back)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__endpoint__subcmd__take__subcmd__out)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__init)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__load)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__service)
            opts="create list remove"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__service__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__service__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__service__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__help__subcmd__status)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__init)
            opts="-h --answers --output --save-answers --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --answers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --save-answers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__load)
            opts="-h --json --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service)
            opts="-h --help create list remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__create)
            opts="-h --model --path-prefix --bytes-per-token --timeout-ms --non-idempotent --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --model)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --path-prefix)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --bytes-per-token)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout-ms)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --non-idempotent)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__help)
            opts="create list remove help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__help__subcmd__create)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__list)
            opts="-h --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__service__subcmd__remove)
            opts="-h --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        sardinepaddle__subcmd__status)
            opts="-h --json --object-api --host-list --who --settings --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --object-api)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --host-list)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --who)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --settings)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
    esac
}

if [[ "${BASH_VERSINFO[0]}" -eq 4 && "${BASH_VERSINFO[1]}" -ge 4 || "${BASH_VERSINFO[0]}" -gt 4 ]]; then
    complete -F _sardinepaddle -o nosort -o bashdefault -o default sardinepaddle
else
    complete -F _sardinepaddle -o bashdefault -o default sardinepaddle
fi
