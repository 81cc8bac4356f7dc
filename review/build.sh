#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into review/bin. It needs no network: they use Go's own library only.
cd "$(dirname "$0")/.." && exec go build -o review/bin/drill ./review/_standins/drill
