#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" many-ends "$(dirname "$0")"
