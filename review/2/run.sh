#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" claim-twice "$(dirname "$0")"
