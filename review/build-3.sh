#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3.
# To be run in the repository after the build of the deploy file, which makes the libraries in target/.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
OUT=target/review-3
mkdir -p "$OUT"
FLAGS="-std=c++20 -O1 -g -Isrc -I. -Ireview/common-3 -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE"
LIBS="target/libfuchsiafall_world.a target/libfuchsiafall_proto.a -lPocoNet -lPocoJSON -lPocoUtil -lPocoCrypto
  -lPocoFoundation -lprotobuf -lboost_program_options -lzmq -lxxhash -lssl -lcrypto -lpthread"
SHARED="review/common-3/lab.cc review/common-3/store.cc src/tests/soak/store_standin.cc src/tests/soak/site_standin.cc
  src/standins/standin_func.cc src/harness/child_process.cc src/harness/fleet.cc"
OBJECTS=""
for source in $SHARED; do
  object=$OUT/$(basename "$source" .cc).o
  # shellcheck disable=SC2086
  g++ $FLAGS -c "$source" -o "$object" &
  OBJECTS="$OBJECTS $object"
done
wait
for source in review/1[1-5]/case.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $FLAGS "$source" $OBJECTS $LIBS -o "$OUT/case-$name"
done
