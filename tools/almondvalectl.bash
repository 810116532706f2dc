# Bash completion for almondvalectl.
_almondvalectl ()
{
  local cur=${COMP_WORDS[COMP_CWORD]}
  local command=${COMP_WORDS[1]}
  local common="--platform --author --json --dry-run --timeout-ms --help"
  local words=""

  if [ "$COMP_CWORD" -eq 1 ]; then
    words="import show diff validate apply key rule status explain --help"
  else
    case $command in
      import) words="--format --ignore" ;;
      show)
        [ "$COMP_CWORD" -eq 2 ] \
          && words="services routes workspaces keys rules" ;;
      key)
        words="--id"
        [ "$COMP_CWORD" -eq 2 ] && words="issue list revoke" ;;
      rule)
        words="--order --workspace --route --method --importance"
        [ "$COMP_CWORD" -eq 2 ] && words="list set delete" ;;
      status) words="--daemon --change" ;;
      explain)
        words="--workspace --key-id --file"
        [ "$COMP_CWORD" -eq 2 ] \
          && words="GET HEAD POST PUT PATCH DELETE OPTIONS" ;;
    esac
    words="$words $common"
  fi
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
  case $command in
    import|diff|validate|apply)
      if [ "$COMP_CWORD" -gt 1 ] && [ "${cur#-}" = "$cur" ]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$cur")
      fi ;;
  esac
}
complete -F _almondvalectl almondvalectl
