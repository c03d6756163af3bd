#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

/// Called by libFuzzer, and by replay.cpp for each file of the corpus.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

inline std::string_view as_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

/// Ends the process, as the fuzzer expects of a fault, when `holds` is false.
inline void require(bool holds, const char* what)
{
    if (!holds) {
        std::cerr << "does not hold: " << what << '\n';
        std::abort();
    }
}
