#pragma once

#include <span>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "connection.h"

namespace figreachctl {

/// Parsed command line of one verb.
struct verb_call {
    connection_options target;
    bool json = false;
    std::vector<std::string> arguments;
    boost::program_options::variables_map options;
};

/// One verb of the command line.
struct verb {
    const char* name;
    const char* synopsis; ///< arguments as shown in the help
    const char* summary;
    std::size_t arguments; ///< number of positional arguments
    boost::program_options::options_description (*options)();
    int (*run)(const verb_call& call);
};

[[nodiscard]] std::span<const verb> all_verbs();

/// The command line is invalid.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

int run_apply(const verb_call& call);
int run_domain(const verb_call& call);
int run_server(const verb_call& call);
int run_get(const verb_call& call);
int run_diff(const verb_call& call);
int run_history(const verb_call& call);
int run_status(const verb_call& call);
int run_explain(const verb_call& call);
int run_watch(const verb_call& call);

} // namespace figreachctl
