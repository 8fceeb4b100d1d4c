#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, which are those of the first one with
# files of their own.
exec bash "$(dirname "$0")/build.sh"
