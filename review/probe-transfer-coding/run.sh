#!/usr/bin/env bash
# Shows the probe; see notes.txt. TROUBLE=0: with a Content-Length.
exec "$(dirname "$0")/../run-2.sh" probe-transfer-coding
