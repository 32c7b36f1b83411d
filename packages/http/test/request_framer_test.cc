#include "request_framer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "request_head.h"

namespace coltsfoottide::http {
namespace {

constexpr std::size_t kMaxRequest = 64 * 1024;
constexpr std::size_t kMaxBody = 1000;

// Pieces of requests, valid and not, that the fuzzed inputs are put together from.
const std::vector<std::string>& Pieces() {
  static const std::vector<std::string> pieces = {
      "POST / HTTP/1.1\r\n",
      "GET /a?b HTTP/1.0\r\n",
      "Content-Length: 5\r\n",
      "content-length:0\r\n",
      "CONTENT-LENGTH: 1001\r\n",
      "Content-Length: -1\r\n",
      "Content-Length: 99999999999999999999\r\n",
      "Transfer-Encoding: chunked\r\n",
      "Connection: close, x\r\n",
      "Expect: 100-continue\r\n",
      "X: y\r\n",
      " X: y\r\n",
      ": \r\n",
      "\r\n",
      "\n",
      "\r",
      "hello",
      std::string(1, '\0'),
      "\xff\xfe",
      "HTTP/1.1",
      std::string(70, 'x'),
      "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
      "GET / HTTP/1.1\r\n\r\n"};
  return pieces;
}

std::string Assemble(const std::vector<unsigned>& choices) {
  std::string text;
  for (const unsigned it : choices) {
    const auto& pieces = Pieces();
    // Some bytes are of no piece.
    if (it % 16 == 15) {
      text += static_cast<char>(it / 16);
    } else {
      text += pieces[it / 16 % pieces.size()];
    }
  }
  return text;
}

struct Outcome {
  std::vector<std::string> requests;
  RequestFramer::State state = RequestFramer::State::kEmpty;
  int refusal = 0;
  bool operator==(const Outcome&) const = default;
};

// Feeds the text in pieces of the given size, as far as the framer wants it.
Outcome Frame(const std::string& text, std::size_t piece) {
  RequestFramer framer(kMaxRequest);
  framer.set_max_body_bytes(kMaxBody);
  Outcome outcome;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const qsizetype wanted = framer.wanted();
    if (wanted <= 0) break;
    const std::size_t n = std::min({piece, text.size() - begin, static_cast<std::size_t>(wanted)});
    framer.Append(QByteArrayView(text.data() + begin, static_cast<qsizetype>(n)));
    begin += n;
    RC_ASSERT(framer.held_bytes() <= 4U * RequestFramer::kMaxHeaderBytes + kMaxBody);
    while (framer.state() == RequestFramer::State::kComplete) {
      const RequestFramer::Complete it = framer.Take();
      RC_ASSERT(it.body.size() <= kMaxBody);
      RC_ASSERT(!WithoutContentLength(it.header).toLower().contains("\ncontent-length:"));
      outcome.requests.push_back(it.header.toStdString() + it.body);
    }
  }
  outcome.state = framer.state();
  outcome.refusal = framer.refusal_status();
  return outcome;
}

}  // namespace

class RequestFramerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFramerTest);
  CPPUNIT_TEST(FramesAlikeInPiecesOfAnySize);
  CPPUNIT_TEST(ParsesAnyHead);
  CPPUNIT_TEST(RefusesBodyOverLimitWithItsHeader);
  CPPUNIT_TEST(KeepsNoMemoryOfEarlierRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are read otherwise, or refused, depending on how the network
  // splits them, and against memory over the limits for any input.
  void FramesAlikeInPiecesOfAnySize() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<unsigned>& choices, unsigned piece) {
      const std::string text = Assemble(choices);
      const Outcome whole = Frame(text, text.size() + 1);
      const Outcome single = Frame(text, 1);
      const Outcome pieces = Frame(text, 1 + piece % 100);
      RC_ASSERT(whole == single);
      RC_ASSERT(whole == pieces);
    }));
  }

  // Guards against a head that is accepted with a length that is not valid.
  void ParsesAnyHead() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<unsigned>& choices) {
      const HeadResult parsed = ParseRequestHead(QByteArray::fromStdString(Assemble(choices)));
      RC_ASSERT(parsed.head.content_length >= 0);
      if (parsed.refusal_status != 0) RC_ASSERT(parsed.refusal_status >= 400);
      if (parsed.refusal_status == 0) RC_ASSERT(!parsed.head.method.isEmpty());
    }));
    CPPUNIT_ASSERT(rc::check([](const std::string& text) {
      RC_ASSERT(ParseRequestHead(QByteArray::fromStdString(text)).head.content_length >= 0);
    }));
  }

  // Guards against a body that is read before its announced length is checked.
  void RefusesBodyOverLimitWithItsHeader() {
    RequestFramer framer(kMaxRequest);
    framer.set_max_body_bytes(kMaxBody);
    framer.Append("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
    CPPUNIT_ASSERT(framer.state() == RequestFramer::State::kRefused);
    CPPUNIT_ASSERT_EQUAL(413, framer.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, framer.held_bytes());
  }

  // Guards against an idle connection that holds the buffer of its largest request.
  void KeepsNoMemoryOfEarlierRequests() {
    RequestFramer framer(kMaxRequest);
    const std::string body(30'000, 'x');
    framer.Append("POST / HTTP/1.1\r\nContent-Length: 30000\r\n\r\n");
    framer.Append(QByteArrayView(body.data(), 30'000));
    CPPUNIT_ASSERT(framer.state() == RequestFramer::State::kComplete);
    CPPUNIT_ASSERT(framer.Take().body == body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, framer.held_bytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFramerTest);

}  // namespace coltsfoottide::http
