#!/usr/bin/env bash
# Builds the programs of cases 11 to 15 into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -g -pthread -Wall -Wextra -Wno-missing-field-initializers -Wno-mismatched-new-delete"
flags="$flags -Iinclude -Iplatform -Iplatform/standin -Igenerated -Ireview/standin-3"
libraries="target/libfigreach_direct.a target/libfigreach_runtime.a target/libfigreach.a"
libraries="$libraries target/libfigreach_messages.a $(pkg-config --libs protobuf libxxhash liblog4cxx libzmq)"
libraries="$libraries -lboost_json -lboost_system -lssl -lcrypto"
# One compiler a name; four at a time, as a coroutine's source takes much memory.
compile() {
    # shellcheck disable=SC2086 # lists of words
    g++ $flags -c "$1" -o "$2"
}
export -f compile
export flags
{
    for name in http_server key_holder store_model store_server; do
        echo "platform/standin/$name.cpp $out/$name.o"
    done
    echo "review/standin-3/lab.cc $out/lab.o"
    for source in review/1[1-5]/case.cc; do
        [ -f "$source" ] || continue
        number=${source#review/}
        echo "$source $out/case-${number%%/*}.o"
    done
} | xargs -P 4 -L 1 bash -c 'compile "$0" "$1"'
for object in "$out"/case-*.o; do
    # shellcheck disable=SC2086
    g++ -pthread "$object" "$out"/{lab,http_server,key_holder,store_model,store_server}.o \
        $libraries -o "${object%.o}"
done
