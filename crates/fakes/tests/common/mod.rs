//! A simple HTTP client for the tests.

#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

#[derive(Clone)]
pub(crate) struct Http(Client<HttpConnector, Full<Bytes>>);

impl Http {
    pub(crate) fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    pub(crate) async fn open(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::post(format!("http://{addr}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.0.request(request.body(Full::new(body.into())).unwrap()).await
    }

    pub(crate) async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<(StatusCode, Value), Error> {
        let response = self.open(addr, path, &[], body.to_string()).await?;
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let value = serde_json::from_slice(&body);
        Ok((status, value.unwrap_or_else(|_| String::from_utf8_lossy(&body).into())))
    }
}

pub(crate) fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}
