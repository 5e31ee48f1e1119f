#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" draining-cut "$(dirname "$0")"
