#!/bin/sh
# Builds the stand-ins of the cases. It needs no module beside the standard library, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/.standins/rig
