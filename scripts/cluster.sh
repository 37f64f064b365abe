# Starts and stops one small deployment on loopback; to be sourced.
#
#   startCluster FOLDER   settings, keys, logs and data go below FOLDER
#   stopCluster           stops every process it started, by its id
#
# One key-value service with the list of instances, three engines, one plain
# service, three entries (1 and 2 with data folders in different data centres),
# and one endpoint process beside each engine and the service.

KvPort=7400
EnginePorts=7410   # 7411 to 7413
ServicePort=7420
EntryPorts=7430    # peer links of entries 7431 to 7433
CallerPorts=7440   # 7441 to 7443
OperatorPorts=7450 # 7451 to 7453
BesidePorts=7460   # peer links beside engines 7461 to 7463, service 7464
CallerKey=caller-key-obrador
declare -A ProcessIds=()

launch() { # NAME PROGRAM ARGUMENTS...
  local Name=$1
  shift
  "$@" >"$Folder/$Name.log" 2>&1 &
  ProcessIds[$Name]=$!
}

settings() { # NAME ROLE DATA_CENTRE PEER_PORT EXTRA
  jq -n --arg Name "$1" --arg Role "$2" --arg Centre "$3" --argjson Port "$4" \
    --arg Folder "$Folder" --argjson Kv "$KvPort" --argjson Extra "$5" \
    '{instance: $Name, role: $Role, region: "andes", data_centre: $Centre,
      host: "127.0.0.1", peer_port: $Port, shard_count: 64,
      platform: {host: "127.0.0.1", port: $Kv},
      peer_key_file: "\($Folder)/peer.key",
      heartbeat_every_ms: 200, silence_limit_ms: 1000,
      suspect_after_ms: 600, platform_timeout_ms: 1000} + $Extra' \
    > "$Folder/$1.json"
}

enlist() { # NAME: tells the platform's list of an instance, from its settings
  jq '{instance, incarnation: 0, role, region, data_centre, host,
       port: .peer_port, folder: "", endpoint: (.endpoint.name // ""),
       serves: (.endpoint.serves // []), state: "live"}' "$Folder/$1.json" |
    curl -sS -X PUT "http://127.0.0.1:$KvPort/v1/instances/$1" -d @- >/dev/null
}

entrySettings() { # NUMBER DATA_CENTRE DATA_FOLDER
  settings "entry-$1" entry "$2" $((EntryPorts + $1)) \
    "$(jq -n --argjson N "$1" --argjson Callers "$CallerPorts" \
      --argjson Operators "$OperatorPorts" --arg Folder "$Folder" --arg Data "$3" \
      '{caller_port: ($Callers + $N), operator_port: ($Operators + $N),
        operator_key_file: "\($Folder)/operator.key",
        caller_keys_file: "\($Folder)/callers.json"}
       + if $Data == "" then {} else {data_folder: $Data} end')"
}

besideSettings() { # NUMBER NAME ENDPOINT_JSON
  settings "$2" endpoint andes-a $((BesidePorts + $1)) \
    "$(jq -n --argjson Endpoint "$3" '{endpoint: $Endpoint}')"
}

startEngine() { # NUMBER
  launch "engine-$1" "$Build/bin/tamarack-standin" --kind=engine \
    --port=$((EnginePorts + $1)) --token_ms="${TokenMs:-5}"
}

startDaemon() { # NAME
  launch "$1" "$Build/bin/tamarackd" --config "$Folder/$1.json"
}

writeKeys() {
  (
    umask 077
    echo "peer-key-for-loopback" > "$Folder/peer.key"
    echo "operator-key-for-loopback" > "$Folder/operator.key"
    echo "{\"$CallerKey\": \"obrador\"}" > "$Folder/callers.json"
  )
}

startCluster() { # FOLDER
  Folder=$1
  writeKeys
  launch kv "$Build/bin/tamarack-standin" --kind=kv --port=$KvPort
  launch service "$Build/bin/tamarack-standin" --kind=service --port=$ServicePort
  entrySettings 1 andes-a "$Folder/data-1"
  entrySettings 2 andes-b "$Folder/data-2"
  entrySettings 3 andes-b ""
  local Number
  for Number in 1 2 3; do
    startEngine "$Number"
    besideSettings "$Number" "beside-engine-$Number" \
      "{\"name\":\"engine-$Number\",\"kind\":\"engine\",\"at\":{\"host\":\"127.0.0.1\",\"port\":$((EnginePorts + Number))},\"serves\":[\"asistente\"],\"checks_fence\":false,\"max_batch\":16,\"memory_tokens\":200000}"
  done
  besideSettings 4 beside-payouts \
    "{\"name\":\"payouts-1\",\"kind\":\"service\",\"at\":{\"host\":\"127.0.0.1\",\"port\":$ServicePort},\"serves\":[\"payouts\"],\"repeatable\":false,\"checks_fence\":false,\"max_batch\":16}"
  scripts/await-port $KvPort
  scripts/await-port $ServicePort
  local Names=(entry-1 entry-2 entry-3 beside-engine-1 beside-engine-2 beside-engine-3 beside-payouts)
  local Name
  for Name in "${Names[@]}"; do enlist "$Name"; done
  for Number in 1 2 3; do scripts/await-port $((EnginePorts + Number)); done
  for Name in "${Names[@]}"; do startDaemon "$Name"; done
  for Number in 1 2 3; do scripts/await-port $((CallerPorts + Number)); done
  # Links between all processes open within two heartbeats.
  sleep 1
}

stopCluster() {
  local Name
  for Name in "${!ProcessIds[@]}"; do
    kill -TERM "${ProcessIds[$Name]}" 2>/dev/null || true
  done
  for Name in "${!ProcessIds[@]}"; do
    wait "${ProcessIds[$Name]}" 2>/dev/null || true
  done
}
