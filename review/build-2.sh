#!/bin/sh
# Builds the stand-ins that the cases 4 to 8 start. The program itself is built with the line of
# deploy/service.toml before.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/rig2 ./review/rig2
