#!/usr/bin/env bash
# Case 1: SIGHUP during the drain of an entry. TROUBLE=0 leaves the SIGHUP out.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" hupDuringDrain
