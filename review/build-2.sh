#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it at the repository's root,
# after the build of the deploy file.
set -eu
go build -ldflags=-linkmode=external -o target/review-2/ ./review/standin-2
