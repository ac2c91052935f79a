#!/bin/sh
# Builds the program with the stand-ins, the clients and the cases of the second review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/common-2/main.rs
