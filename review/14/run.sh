#!/bin/sh
# Plays the case (see claim.txt). Needs the build of deploy/system.toml and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../play-3.sh" 14 outage
