// Runs one fuzz target on every file of the given directories without a fuzzer.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "target.h"

int main(int argc, char** argv)
{
    int files = 0;
    for (int i = 1; i < argc; ++i) {
        for (const auto& entry : std::filesystem::directory_iterator{argv[i]}) {
            std::ifstream in{entry.path(), std::ios::binary};
            const std::string bytes{std::istreambuf_iterator<char>{in}, {}};
            LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size());
            ++files;
        }
    }
    std::cout << files << " inputs\n";
    return files > 0 ? 0 : 1;
}
