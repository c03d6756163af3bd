#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" cut-from-store "$(dirname "$0")"
