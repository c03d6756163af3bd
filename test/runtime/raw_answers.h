#pragma once

#include <iterator>
#include <mutex>
#include <string>
#include <vector>

#include "plane_fixture.h"

namespace figreach {

/// The bytes of an answer, which need not be valid.
struct raw_answer {
    std::string name;
    std::string text;
};

/// A server that answers a request with these bytes and ends its side of the connection.
class raw_server {
public:
    explicit raw_server(std::string text_ = {})
        : text{std::move(text_)}, upstream{[this](tcp::socket& socket) { this->serve(socket); }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }
    /// Sets the answer to the next requests.
    void set_answer(std::string next)
    {
        const std::lock_guard lock{this->mutex};
        this->text = std::move(next);
    }
    [[nodiscard]] int requests() const { return this->served; }
    /// Connections that were reset after the answer.
    [[nodiscard]] int resets() const { return this->reset; }

private:
    void serve(tcp::socket& socket)
    {
        std::string rest;
        if (read_head(socket, rest).empty()) {
            return;
        }
        ++this->served;
        boost::system::error_code failed;
        boost::asio::write(socket, boost::asio::buffer(this->answer()), failed);
        socket.shutdown(tcp::socket::shutdown_send, failed);
        failed = {};
        std::vector<char> chunk(64 * 1024);
        while (!failed) {
            socket.read_some(boost::asio::buffer(chunk), failed);
        }
        this->reset += failed == boost::asio::error::connection_reset ? 1 : 0;
    }

    std::string answer()
    {
        const std::lock_guard lock{this->mutex};
        return this->text;
    }

    std::mutex mutex;
    std::string text;
    std::atomic<int> served{0};
    std::atomic<int> reset{0};
    fake_upstream upstream;
};

/// An answer with a length.
inline std::string whole_answer(const std::string& status_line, const std::string& fields,
                                const std::string& body)
{
    return status_line + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline void append(std::vector<raw_answer>& all, std::vector<raw_answer> more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

/// Responses with this status, of which some are followed by a valid answer.
inline std::vector<raw_answer> answers_of_status(const std::string& status,
                                                 const std::string& fields, const std::string& body)
{
    const auto ok = whole_answer("HTTP/1.1 200 OK", fields, body);
    const auto line = "HTTP/1.1 " + status + " Odd";
    const auto head = line + "\r\n" + fields;
    return {
        {status, whole_answer(line, fields, body)},
        {status + ", HTTP/1.0", whole_answer("HTTP/1.0 " + status + " Odd", fields, body)},
        {status + " without length", head + "\r\n" + body},
        {status + " and an answer", head + "\r\n" + ok},
        {status + " without a body and an answer", head + "Content-Length: 0\r\n\r\n" + ok},
    };
}

/// Responses with a status that is invalid or that no request asks for.
inline std::vector<raw_answer> answers_of_invalid_status(const std::string& fields,
                                                         const std::string& body = "plan")
{
    std::vector<raw_answer> out;
    for (const auto* status : {"000", "001", "042", "099", "101", "600", "999"}) {
        append(out, answers_of_status(status, fields, body));
    }
    for (const auto* line : {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK",
                             "HTTP/1.1 +20 OK", "HTTP/1.1  00 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 ",
                             "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"}) {
        out.push_back({line, whole_answer(line, fields, body)});
    }
    return out;
}

/// Interim responses that no final one follows.
inline std::vector<raw_answer> answers_without_final_one(const std::string& fields,
                                                         const std::string& body = "plan")
{
    const auto ok = whole_answer("HTTP/1.1 200 OK", fields, body);
    const std::string early_hints = "HTTP/1.1 103 Early Hints\r\n" + fields;
    std::string many;
    for (int i = 0; i < 10; ++i) {
        many += early_hints + "\r\n";
    }
    return {
        {"100 only", "HTTP/1.1 100 Continue\r\n" + fields + "\r\n"},
        {"103 only", early_hints + "\r\n"},
        {"103 with a body", whole_answer("HTTP/1.1 103 Early Hints", fields, body)},
        {"103 with a body and an answer",
         whole_answer("HTTP/1.1 103 Early Hints", fields, body) + ok},
        {"103 with chunks", early_hints + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"},
        {"many interim responses", many + ok},
    };
}

/// Interim responses that a final one may follow.
inline std::vector<raw_answer> interim_responses(const std::string& fields)
{
    const std::string early_hints = "HTTP/1.1 103 Early Hints\r\n";
    return {
        {"none", ""},
        {"100", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"102", "HTTP/1.1 102 Processing\r\n" + fields + "\r\n"},
        {"103", early_hints + fields + "Link: a\r\n\r\n"},
        {"an unknown interim status", "HTTP/1.1 199 Odd\r\n\r\n"},
        {"100 and 103", "HTTP/1.1 100 Continue\r\n\r\n" + early_hints + "\r\n"},
        {"103 with a length", early_hints + "Content-Length: 4\r\n\r\n"},
    };
}

/// Answers in which this byte, which no token contains, is part of the name of a field.
inline std::vector<raw_answer> answers_with_byte_in_name(char byte, const std::string& fields)
{
    const auto name = "byte " + std::to_string(static_cast<unsigned char>(byte));
    const auto head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string end = "Content-Length: 4\r\n\r\nplan";
    const auto chunks = ": chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n";
    return {
        {name + " first", std::string{"HTTP/1.1 200 OK\r\n"} + byte + "X: a\r\n" + fields + end},
        {name + " between", head + "X" + byte + "Y: a\r\n" + end},
        {name + " last", head + "X" + byte + ": a\r\n" + end},
        {name + " behind Content-Length", head + "Content-Length" + byte + ": 4\r\n\r\nplan"},
        {name + " behind Transfer-Encoding", head + "Transfer-Encoding" + byte + chunks},
    };
}

/// Answers with this control byte in the value of a field and in the reason.
inline std::vector<raw_answer> answers_with_byte_in_value(char byte, const std::string& fields)
{
    const auto name = "byte " + std::to_string(static_cast<unsigned char>(byte));
    const auto end = "\r\n" + fields + "Content-Length: 4\r\n\r\nplan";
    return {
        {name + " in a value", std::string{"HTTP/1.1 200 OK\r\nX: a"} + byte + "b" + end},
        {name + " in the reason", std::string{"HTTP/1.1 200 O"} + byte + "K" + end},
    };
}

/// Answers whose head is malformed.
inline std::vector<raw_answer> answers_with_invalid_fields(const std::string& fields)
{
    const auto head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string end = "Content-Length: 4\r\n\r\nplan";
    const std::string coding = "Transfer-Encoding: chunked\r\n";
    const std::string chunk = "4\r\nplan\r\n0\r\n";
    return {
        {"no name", head + ": a\r\n" + end},
        {"no colon", head + "X\r\n" + end},
        {"bare CR in a value", head + "X: a\rY: b\r\n" + end},
        {"bare LF behind a value", head + "X: a\nY: b\r\n" + end},
        {"bare CR in the status line", "HTTP/1.1 200 OK\rX: a\r\n" + fields + end},
        {"two lengths", head + "Content-Length: 2\r\n" + end},
        {"a length that is no number", head + "Content-Length: 4x\r\n\r\nplan"},
        {"a negative length", head + "Content-Length: -4\r\n\r\nplan"},
        {"chunks and a length", head + coding + "Content-Length: 4\r\n\r\n" + chunk + "\r\n"},
        {"a length and chunks", head + "Content-Length: 4\r\n" + coding + "\r\n" + chunk + "\r\n"},
    };
}

/// Answers with each byte, at each place, that is allowed neither in a name nor in a value.
inline std::vector<raw_answer> answers_with_invalid_byte(const std::string& fields)
{
    std::vector<raw_answer> out;
    const std::string separators = " \"(),/;<=>?@[\\]{}";
    for (int code = 0; code < 256; ++code) {
        const auto byte = static_cast<char>(code);
        const bool is_control = code < ' ' || code == 0x7f;
        if (is_control || code > 0x7f || separators.find(byte) != std::string::npos) {
            append(out, answers_with_byte_in_name(byte, fields));
        }
        if (is_control && byte != '\t') {
            append(out, answers_with_byte_in_value(byte, fields));
        }
    }
    return out;
}

/// Answers in chunks whose trailer is malformed.
inline std::vector<raw_answer> answers_with_invalid_trailer(const std::string& fields)
{
    const auto start =
        "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nplan\r\n0\r\n";
    return {
        {"blank in a name", start + "X Y: a\r\n\r\n"},
        {"blank before a name", start + " X: a\r\n\r\n"},
        {"blank behind a name", start + "X : a\r\n\r\n"},
        {"control byte in a name", start + "X\v: a\r\n\r\n"},
        {"DEL in a name", start + "X\x7f: a\r\n\r\n"},
        {"control byte in a value", start + "X: a\vb\r\n\r\n"},
        {"bare CR", start + "X: a\rb\r\n\r\n"},
    };
}

/// Answers whose body is still encoded when the chunks are decoded.
inline std::vector<raw_answer> answers_with_other_coding(const std::string& fields)
{
    const auto head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string chunks = "\r\n\r\n4\r\nplan\r\n0\r\n\r\n";
    return {
        {"gzip", head + "Transfer-Encoding: gzip\r\n\r\nplan"},
        {"gzip and a length", head + "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nplan"},
        {"gzip in chunks", head + "Transfer-Encoding: gzip, chunked" + chunks},
        {"gzip in chunks, two lines",
         head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked" + chunks},
        {"gzip of chunks", head + "Transfer-Encoding: chunked, gzip" + chunks},
        {"chunks twice", head + "Transfer-Encoding: chunked, chunked" + chunks},
        {"an unknown coding", head + "Transfer-Encoding: xchunked" + chunks},
        {"a parameter of chunked", head + "Transfer-Encoding: chunked;q=1" + chunks},
    };
}

/// Valid answers with a Transfer-Encoding.
inline std::vector<raw_answer> answers_in_known_coding(const std::string& fields)
{
    const auto head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string chunks = "\r\n\r\n4\r\nplan\r\n0\r\n\r\n";
    return {
        {"chunked", head + "Transfer-Encoding: chunked" + chunks},
        {"Chunked", head + "Transfer-Encoding:\tChunked " + chunks},
        {"identity", head + "Transfer-Encoding: identity\r\n\r\nplan"},
    };
}

} // namespace figreach
