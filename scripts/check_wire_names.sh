#!/usr/bin/env bash
# Finds names of the users' platform outside platform/ and the tests: only the adapter knows them.
set -uo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Deadline-Ms|X-Expect-Instance|X-Response-Seal|X-Not-Executed|X-Prompt-Prefix'
names+='|X-Instance-Load|X-Token-Count|X-Tenant|X-Request-Urgency|X-Hold|X-Pin-Ms|Kv-From|Kv-Fetch'
names+='|ColdRemainingMs|kv-watch|kv-txn|kv-range|kv-key|kv-lease|kv-keep|StaleOk|CurrentRev|op/config'
names+='|Server-Leaving|Server-Limit|Store-Era'
names+='|X-Duty-Holder|X-Fencing-Token|"Window"|"Counts"|"Desired"|"Preemptible"|"/usage"|"/scale"'
names+='|SpotPrice|ZonePrices|BootTimeS|KvCapacity|leaves_ms'
names+='|TargetLatencyMs|MaxAttempts|"Routes"|"Tenants"|"ApiKeys"'
found=$(git ls-files -co --exclude-standard -- '*.h' '*.cpp' | grep -vE '^(platform|tests)/' |
  xargs grep -nE "$names")
[ -z "$found" ] && exit 0
echo "$found"
echo "names of the platform's wire outside platform/"
exit 1
