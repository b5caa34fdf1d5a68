#!/bin/sh
# Builds the driver of the cases, with the stand-ins for the store, the backend servers and the callers.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/driver
