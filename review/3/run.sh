#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" restored-store "$(dirname "$0")"
