#!/usr/bin/env bash
# Makes the findings of this folder anew; some two minutes on eight cores.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin/chutelab lab sweep --scenario docs/lab/fleet.toml --param senders.count=2,8,32,128,500 --seeds 10 --audit \
	--out docs/lab --name fleet-size >/dev/null
bin/chutelab lab compare --scenario docs/lab/half-restarts.toml --a fault.kill.at=39s --b fault.kill.at=20s --seeds 20 \
	--out docs/lab --name half-restarts >/dev/null
bin/chutelab lab sweep --scenario docs/lab/overload.toml \
	--param policy=ours,one-try,immediate,backoff,budget,bucket,gradient,breaker,least,oracle --seeds 10 \
	--out docs/lab --name overload >/dev/null
