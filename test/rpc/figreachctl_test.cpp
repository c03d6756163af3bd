// Runs figreachctl as a process and checks its exit codes and output.

#include <array>
#include <cstdio>

#include <sys/wait.h>

#include "figreach/version_line.h"
#include "operator_fixture.h"
#include "property.h"

using namespace operator_fixture;

namespace {

struct ended_process {
    int code = 0;
    std::string output; ///< standard output and standard error
};

ended_process run_figreachctl(const std::string& arguments)
{
    const auto command = std::string{FIGREACHCTL} + " " + arguments + " 2>&1";
    ended_process out;
    FILE* pipe = popen(command.c_str(), "r"); // NOLINT(cert-env33-c): the program under test
    std::array<char, 4096> buffer{};
    while (const auto size = fread(buffer.data(), 1, buffer.size(), pipe)) {
        out.output.append(buffer.data(), size);
    }
    out.code = WEXITSTATUS(pclose(pipe));
    return out;
}

struct command_row {
    const char* arguments; ///< HOST, TOKEN and FILE are placeholders
    int code;
    const char* text;
};

/// Run in this order against the same entry host.
const command_row command_rows[] = {
    {"--help", 0, "figreachctl [OPTIONS] VERB"},
    {"domain --help", 0, "domain out|in NAME"},
    {"", 2, "Verbs:"},
    {"frobnicate", 2, "unknown verb 'frobnicate'"},
    {"explain lessons", 2, "usage: figreachctl explain SERVICE KEY"},
    {"domain sideways a", 2, "allowed: in | out"},
    {"status --wait", 2, "unrecognised option"},
    {"apply no-such-file", 2, "cannot be read"},
    {"--host 127.0.0.1:1 status", 3, "no entry host answers"},
    {"HOST get", 1, "no description was applied yet"},
    {"HOST TOKEN apply FILE", 2, "does not say which version"},
    {"HOST apply FILE --based-on 0", 1, "needs the operators' token"},
    {"HOST TOKEN apply FILE --based-on 0 --dry-run", 0, "Checked against version 0"},
    {"--host 127.0.0.1:1 HOST TOKEN apply FILE --based-on 0 --by ann", 0, "Accepted as version 1"},
    {"HOST TOKEN apply FILE --based-on 0", 5, "Conflict: version 1 is in force"},
    {"HOST get", 0, "# version: 1\n# ours"},
    {"HOST diff FILE", 0, "No difference from version 1"},
    {"HOST TOKEN domain out a", 0, "failure_domain 'a'.state: in -> out"},
    {"HOST TOKEN domain out a", 0, "Unchanged: version 2 says so already"},
    {"HOST TOKEN server drain s2", 6, "service 'lessons' would have no backend server"},
    {"HOST TOKEN server drain s2 --force --reason night", 0, "Accepted as version 3"},
    {"HOST TOKEN server undrain s9", 1, "allowed: s1 | s2"},
    {"HOST TOKEN server undrain s2 --wait --wait-seconds 1", 7, "not yet in force at"},
    {"HOST history", 0, "ann (token)"},
    {"HOST history --json", 0, "\"reason\":\"night\""},
    {"HOST status", 0, "has not learned the description yet"},
    {"HOST explain lessons k", 1, "No description is in force"},
};

struct line_row {
    const char* text;
    int version; ///< -1: no version line
    const char* rest;
};

const line_row line_rows[] = {
    {"# version: 12\nx = 1\n", 12, "x = 1\n"},
    {"# version: 12\r\nx", 12, "x"},
    {"# version: 0", 0, ""},
    {"# version: 1 2\nx", -1, "# version: 1 2\nx"},
    {"# version: \nx", -1, "# version: \nx"},
    {"x\n# version: 3", -1, "x\n# version: 3"},
    {"", -1, ""},
};

std::string replaced(std::string text, const std::string& word, const std::string& by)
{
    return with(std::move(text), word, by);
}

} // namespace

TEST_GROUP(figreachctl_test){};

TEST(figreachctl_test, exit_codes_and_texts_are_as_documented)
{
    const fixture on{with_token(token)};
    const temporary_file description{sample_description()};
    const temporary_file secret{std::string{token} + "\n"};
    for (const auto& row : command_rows) {
        auto arguments = replaced(row.arguments, "HOST", "--host " + on.address);
        arguments = replaced(arguments, "TOKEN", "--token-file " + secret.path);
        arguments = replaced(arguments, "FILE", description.path);
        const auto ended = run_figreachctl(arguments);
        LONGS_EQUAL_TEXT(row.code, ended.code, row.arguments);
        STRCMP_CONTAINS_TEXT(row.text, ended.output.c_str(), row.arguments);
    }
}

TEST(figreachctl_test, reads_the_version_line)
{
    for (const auto& row : line_rows) {
        const auto version = read_version_line(row.text);
        LONGS_EQUAL_TEXT(row.version, version ? static_cast<int>(*version) : -1, row.text);
        STRCMP_EQUAL_TEXT(row.rest, without_version_line(row.text).c_str(), row.text);
    }
}

TEST(figreachctl_test, speaks_tls_with_a_client_certificate)
{
    const auto host = make_certificate("h1");
    const auto ann = make_certificate("ann");
    const temporary_file host_certificate{host.pem};
    const temporary_file host_key{host.key};
    const temporary_file certificate{ann.pem};
    const temporary_file key{ann.key};
    operator_settings settings;
    settings.tls_certificate = host_certificate.path;
    settings.tls_key = host_key.path;
    settings.tls_client_ca = certificate.path;
    const fixture on{settings};
    const temporary_file description{sample_description()};
    const auto ended =
        run_figreachctl("--host " + on.address + " --tls-ca " + host_certificate.path +
                        " --tls-certificate " + certificate.path + " --tls-key " + key.path +
                        " apply " + description.path + " --based-on 0");
    LONGS_EQUAL(0, ended.code);
    STRCMP_CONTAINS("Accepted as version 1", ended.output.c_str());
}
