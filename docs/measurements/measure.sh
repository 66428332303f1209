#!/usr/bin/env bash
# Makes the figures of this folder anew; some 8 minutes on a machine that does nothing else.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=docs/measurements

# One thing is varied at a time around 1 sender, 20 destinations, 2,000 notices a second: well, and with half of the
# destinations hanging from a fifth of the time on.
for hang in 0 0.5; do
	suffix=$([ "$hang" = 0 ] && echo well || echo hang)
	for point in "100 20 1" "2000 20 1" "2000 500 1" "2000 5000 1" "2000 20 4" "2000 20 16"; do
		read -r rate destinations senders <<<"$point"
		bin/chutelab load --rate "$rate" --destinations "$destinations" --senders "$senders" --hang "$hang" \
			--length 5s --relay --out $out --name "r$rate-d$destinations-s$senders-$suffix" >/dev/null
	done
done
# The turn's wait at 500 a second, and the highest rate that keeps p99 under 50 ms.
bin/chutelab load --rate 500 --length 5s --rounds 3 --relay --out $out --name turns-500 >/dev/null
bin/chutelab load --rate 2000 --length 4s --p99 50ms --relay --out $out --name highest >$out/highest.txt
