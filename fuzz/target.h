#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

/// Fuzz entry point, called by libFuzzer and by replay.cpp for each corpus file.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

inline std::string_view as_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

/// Aborts if `holds` is false, so that the fuzzer records a crash.
inline void require(bool holds, const char* what)
{
    if (!holds) {
        std::cerr << "does not hold: " << what << '\n';
        std::abort();
    }
}
