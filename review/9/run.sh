#!/usr/bin/env bash
# Plays the case that claim.txt describes. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/jacinthstiled ]; then
  echo "not run: build the product as deploy/system.toml does, and then review/build-2.sh" >&2
  exit 2
fi
exec target/review-2 -case leaving -record review/9/record.txt
