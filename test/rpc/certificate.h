#pragma once

#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>

#include <openssl/pem.h>
#include <openssl/x509v3.h>

/// A self-signed certificate and its private key, generated at run time, in PEM.
struct certificate {
    std::string pem;
    std::string key;
};

namespace certificate_detail {

template <class Write>
std::string to_pem(Write write)
{
    const std::unique_ptr<BIO, decltype(&BIO_free_all)> out{BIO_new(BIO_s_mem()), BIO_free_all};
    if (write(out.get()) != 1) {
        throw std::runtime_error{"cannot write PEM"};
    }
    char* data = nullptr;
    const auto size = BIO_get_mem_data(out.get(), &data);
    return {data, static_cast<std::size_t>(size)};
}

} // namespace certificate_detail

/// Generates a certificate with common name `name`, valid for 127.0.0.1 for one hour.
inline certificate make_certificate(const std::string& name)
{
    constexpr long hour = 3600;
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{EVP_EC_gen("P-256"),
                                                                  EVP_PKEY_free};
    const std::unique_ptr<X509, decltype(&X509_free)> out{X509_new(), X509_free};
    X509_set_version(out.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(out.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(out.get()), -hour);
    X509_gmtime_adj(X509_getm_notAfter(out.get()), hour);
    X509_set_pubkey(out.get(), key.get());
    auto* subject = X509_get_subject_name(out.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(out.get(), subject);
    const std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> address{
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1"),
        X509_EXTENSION_free};
    X509_add_ext(out.get(), address.get(), -1);
    X509_sign(out.get(), key.get(), EVP_sha256());
    return {.pem = certificate_detail::to_pem(
                [&](BIO* bio) { return PEM_write_bio_X509(bio, out.get()); }),
            .key = certificate_detail::to_pem([&](BIO* bio) {
                return PEM_write_bio_PrivateKey(bio, key.get(), nullptr, nullptr, 0, nullptr,
                                                nullptr);
            })};
}
