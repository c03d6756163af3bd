#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" foreign-entry "$(dirname "$0")"
