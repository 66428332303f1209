#!/bin/sh
# Builds the stand-ins and checks of the cases 6 to 10 into bin/review-2. Run it after the build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/bin"
cd "$root/review/stage-2"
go build -o "$root/bin/review-2" .
