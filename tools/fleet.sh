# Functions for scripts that run a fleet on loopback; to be sourced.  The
# script sets these variables: build (folder of the programs), dir (folder for
# logs and settings), port (first port of the VMs) and platform_port.

pids=()
names=()

# start NAME PROGRAM ARGUMENT...  Starts a program in the background.  Standard
# output goes to NAME.out, standard error to NAME.log.
start() {
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" > "$dir/$name.out" 2> "$dir/$name.log" &
  pids+=("$!")
  names+=("$name")
}

# Kills the processes that start() started, the last one first, and waits for
# their exit.
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -KILL "${pids[i]}" 2>/dev/null
  done
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    wait "${pids[i]}" 2>/dev/null
  done
  pids=()
  names=()
}

# request PORT METHOD TARGET BODY [HEADER...]  Sends a request and prints the
# response with its headers.
request() {
  local to=$1 method=$2 target=$3 body=$4
  shift 4
  exec 3<> "/dev/tcp/127.0.0.1/$to" || return 1
  {
    printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1:%s\r\n' "$method" "$target" "$to"
    printf 'Connection: close\r\nContent-Length: %d\r\n' "${#body}"
    [ $# -eq 0 ] || printf '%s\r\n' "$@"
    printf '\r\n%s' "$body"
  } >&3
  cat <&3
  exec 3>&-
}

# vm_port VM OFFSET  Prints a port number of a VM.  Offsets: caller 0, local 1,
# peer 2, control 3, backend server 4.
vm_port() {
  printf '%d' $((port + $1 * 10 + $2))
}

# await SECONDS COMMAND...  Repeats the command until it succeeds.  Fails after
# this many seconds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" 2>/dev/null; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# shows PORT TARGET TEXT  Succeeds if the response to a GET contains the text.
shows() {
  request "$1" GET "$2" '' | grep -q -- "$3"
}

# put KIND MEMBERS  Prints an operation of a change that puts one row.
put() {
  printf '{"put": "%s", "row": {%s}}' "$1" "$2"
}

# put_change REVISION OPERATION...  Creates a change on the platform.  Fails if
# the platform does not respond with 201.
put_change() {
  local revision=$1 ops
  shift
  ops=$(printf '%s,' "$@")
  request "$platform_port" PUT "/v1/objects/changes/$revision" \
    "{\"revision\": $revision, \"nonce\": \"$(printf '%032d' "$revision")\", \"author\": \"script\", \"ops\": [${ops%,}]}" \
    'If-None-Match: *' | head -1 | grep -q ' 201 '
}

hash_key() {
  printf '%s' "$1" | sha256sum | cut -d' ' -f1
}
