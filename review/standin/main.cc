// Runs one case of the review:
//   review-case NAME PROGRAM FOLDER RECORD TROUBLE

#include <cstdlib>
#include <exception>
#include <iostream>

#include <google/protobuf/stubs/logging.h>

#include "cases.hh"
#include "figreach/runtime/log.h"

int main(int argc, char** argv)
{
    constexpr int argument_count = 6;
    constexpr int could_not_run = static_cast<int>(figreach::review::verdict::could_not_run);
    if (argc != argument_count) {
        std::cerr << "usage: review-case NAME PROGRAM FOLDER RECORD TROUBLE\n";
        return could_not_run;
    }
    google::protobuf::SetLogHandler(nullptr);
    try {
        const auto& cases = figreach::review::all_cases();
        const auto found = cases.find(argv[1]);
        if (found == cases.end()) {
            std::cerr << "no case " << argv[1] << "\n";
            return could_not_run;
        }
        const figreach::review::case_settings settings{.program = argv[2],
                                                       .folder = argv[3],
                                                       .record = argv[4],
                                                       .trouble = std::atoi(argv[5])};
        return static_cast<int>(found->second(settings));
    }
    catch (const std::exception& error) {
        std::cerr << "review-case: " << error.what() << "\n";
        return could_not_run;
    }
}
