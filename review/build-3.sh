#!/bin/sh
# Builds the stand-ins and the driver of the scripted cases 11 to 15. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
rustc --edition 2021 -O review/standins-3.rs -o target/review-3/standins-3
