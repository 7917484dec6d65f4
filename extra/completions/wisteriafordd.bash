_wisteriafordd() {
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
                cmd="wisteriafordd"
                ;;
            *)
                ;;
        esac
    done

    case "${cmd}" in
        wisteriafordd)
            opts="-h -V --instance-id --availability-zone --region --listen --peer-listen --peers --log-address --weight-store-address --instance-list-address --max-connections --memory-mb --max-body-bytes --default-timeout-ms --silence-timeout-ms --shutdown-timeout-ms --log-level --help --version"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 1 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --instance-id)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --availability-zone)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --region)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --listen)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --peer-listen)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --peers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --log-address)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --weight-store-address)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --instance-list-address)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --max-connections)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --memory-mb)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --max-body-bytes)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --default-timeout-ms)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --silence-timeout-ms)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --shutdown-timeout-ms)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --log-level)
                    COMPREPLY=($(compgen -W "off error warn info debug trace" -- "${cur}"))
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
    complete -F _wisteriafordd -o nosort -o bashdefault -o default wisteriafordd
else
    complete -F _wisteriafordd -o bashdefault -o default wisteriafordd
fi
