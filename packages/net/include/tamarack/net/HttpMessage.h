/// HTTP/1.1 messages as plain structs, independent of the parsing library.
#ifndef TAMARACK_NET_HTTPMESSAGE_H
#define TAMARACK_NET_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

struct HttpField {
  std::string Name;
  std::string Value;
};

/// Header fields in the order received. Names are compared case-insensitively.
struct HttpFields {
  std::vector<HttpField> All;

  /// Returns the first value of the field, or nullptr if it is absent.
  const std::string *find(std::string_view Name) const;
  bool has(std::string_view Name) const { return find(Name) != nullptr; }
  void add(std::string Name, std::string Value);
  /// Replaces all values of the field with \p Value.
  void set(std::string_view Name, std::string Value);
  void erase(std::string_view Name);
};

/// Compares field names case-insensitively.
bool isSameFieldName(std::string_view Left, std::string_view Right);

struct HttpRequest {
  std::string Method;
  /// The path with its query, not decoded.
  std::string Target;
  HttpFields Fields;
  std::string Body;
};

/// The status and the header fields of a response.
struct HttpHead {
  int Status = 0;
  HttpFields Fields;
};

struct HttpResponse {
  HttpHead Head;
  std::string Body;
};

/// Removes the hop-by-hop fields, which a proxy must not forward (RFC 9110,
/// 7.6.1): Connection, the fields it lists, and the message framing.
void removeHopByHop(HttpFields &Fields);

/// The standard reason phrase of \p Status, such as "Not Found".
std::string_view reasonPhrase(int Status);
/// Encodes the status line and the fields, with the empty line after them.
std::string encodeHead(const HttpHead &Head);
/// Encodes the whole request. The caller sets Host and Content-Length.
std::string encodeRequest(const HttpRequest &Request);
/// Encodes one chunk of a chunked body. Returns an empty string for empty
/// \p Data, since an empty chunk would end the body.
std::string encodeChunk(std::string_view Data);
/// The last chunk of a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace tamarack

#endif // TAMARACK_NET_HTTPMESSAGE_H
