#include "tamarack/net/HttpMessage.h"

#include <algorithm>
#include <charconv>
#include <ostream>

#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace tamarack {
namespace {

namespace http = boost::beast::http;

/// Fields that apply to a single connection, and the framing of the body.
constexpr std::string_view HopByHopFields[] = {"Connection",
                                               "Keep-Alive",
                                               "Proxy-Connection",
                                               "TE",
                                               "Trailer",
                                               "Transfer-Encoding",
                                               "Upgrade",
                                               "Proxy-Authenticate",
                                               "Proxy-Authorization",
                                               "Content-Length"};

boost::beast::string_view asBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

void appendFields(std::string &Out, const HttpFields &Fields) {
  for (const HttpField &Field : Fields.All) {
    Out += Field.Name;
    Out += ": ";
    Out += Field.Value;
    Out += "\r\n";
  }
  Out += "\r\n";
}

} // namespace

bool isSameFieldName(std::string_view Left, std::string_view Right) {
  return boost::beast::iequals(asBeast(Left), asBeast(Right));
}

const std::string *HttpFields::find(std::string_view Name) const {
  for (const HttpField &Field : All)
    if (isSameFieldName(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

void HttpFields::add(std::string Name, std::string Value) {
  All.push_back({std::move(Name), std::move(Value)});
}

void HttpFields::set(std::string_view Name, std::string Value) {
  erase(Name);
  All.push_back({std::string(Name), std::move(Value)});
}

void HttpFields::erase(std::string_view Name) {
  All.erase(std::remove_if(All.begin(), All.end(),
                           [Name](const HttpField &Field) {
                             return isSameFieldName(Field.Name, Name);
                           }),
            All.end());
}

void removeHopByHop(HttpFields &Fields) {
  std::vector<std::string> Listed;
  if (const std::string *Connection = Fields.find("Connection"))
    for (const auto &Token : http::token_list(asBeast(*Connection)))
      Listed.emplace_back(Token.data(), Token.size());
  for (const std::string &Name : Listed)
    Fields.erase(Name);
  for (const std::string_view Name : HopByHopFields)
    Fields.erase(Name);
}

std::string_view reasonPhrase(int Status) {
  const auto Reason = http::obsolete_reason(static_cast<http::status>(Status));
  return {Reason.data(), Reason.size()};
}

std::string encodeHead(const HttpHead &Head) {
  std::string Out = "HTTP/1.1 ";
  Out += std::to_string(Head.Status);
  Out += ' ';
  Out += reasonPhrase(Head.Status);
  Out += "\r\n";
  appendFields(Out, Head.Fields);
  return Out;
}

std::string encodeRequest(const HttpRequest &Request) {
  std::string Out;
  Out.reserve(Request.Body.size() + 1024);
  Out += Request.Method;
  Out += ' ';
  Out += Request.Target;
  Out += " HTTP/1.1\r\n";
  appendFields(Out, Request.Fields);
  Out += Request.Body;
  return Out;
}

std::string encodeChunk(std::string_view Data) {
  if (Data.empty())
    return {};
  char Size[20];
  const auto End = std::to_chars(Size, Size + sizeof Size, Data.size(), 16);
  std::string Out(Size, End.ptr);
  Out.reserve(Out.size() + Data.size() + 4);
  Out += "\r\n";
  Out += Data;
  Out += "\r\n";
  return Out;
}

} // namespace tamarack
