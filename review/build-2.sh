#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start; they need nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-2 review/standins-2.rs
