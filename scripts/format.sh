#!/usr/bin/env bash
# Checks or fixes the formatting of all sources except generated ones. Usage: format.sh --check|--write
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(find packages platform \( -name '*.h' -o -name '*.cpp' \) -not -path '*/generated/*' | sort)
case "${1:---check}" in
  --write) clang-format -i "${sources[@]}" ;;
  --check) clang-format --dry-run --Werror "${sources[@]}" ;;
  *) echo "usage: format.sh --check|--write" >&2; exit 2 ;;
esac
