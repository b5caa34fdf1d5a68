#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The deploy file's build comes first.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/driver3 ./review/driver3
