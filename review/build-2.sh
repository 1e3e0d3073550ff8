#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need
# nothing but the Python of the deploy file; this checks that they compile.
set -e
cd "$(dirname "$0")"
for folder in stand_ins_2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
