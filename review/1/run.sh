#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" restarted-worker "$(dirname "$0")"
