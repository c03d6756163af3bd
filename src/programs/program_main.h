#pragma once

#include <exception>
#include <iostream>

#include <boost/program_options/errors.hpp>

namespace figreach {

/// Runs a program and prints exceptions to stderr. Returns `usage_code` for an invalid command line
/// and `failure_code` for any other exception.
template <class Run>
int run_program(const char* name, int usage_code, int failure_code, Run run)
{
    try {
        return run();
    }
    catch (const boost::program_options::error& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return usage_code;
    }
    catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return failure_code;
    }
}

} // namespace figreach
